package org.trefoilledge.sidecar;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.generated.ConfigDocument;

/** Takes what peers say of the configuration: that a version is the newest, or a newer one. Used on the control thread. */
final class ConfigFetch {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigFetch.class);
    private static final long ANSWER_MILLIS = 600;

    private final Executor control;
    private final PeerLinks peers;
    private final Knowledge knowledge;
    private final Receiver receiver;
    private boolean asking;

    /** Takes a configuration that a peer knows to have been the newest one at a time. */
    @FunctionalInterface
    interface Receiver {
        void receive(byte[] document, Knowledge.Moment asOf);
    }

    ConfigFetch(Executor control, PeerLinks peers, Knowledge knowledge, Receiver receiver) {
        this.control = control;
        this.peers = peers;
        this.knowledge = knowledge;
        this.receiver = receiver;
    }

    /** Takes the news that a peer knew the version to be the newest one at a time. */
    void told(String address, long version, Knowledge.Moment asOf) {
        if (!newer(address, version)) {
            knowledge.confirm(version, asOf);
        }
    }

    /** Fetches the configuration of a peer if its version is newer; returns whether it is. */
    boolean newer(String address, long version) {
        if (version <= knowledge.version()) {
            return false;
        }
        if (!asking) {
            asking = true;
            Knowledge.Moment sent = knowledge.now();
            onControl(peers.fetchConfig(address, ANSWER_MILLIS), (document, error) -> {
                asking = false;
                if (error != null) {
                    LOG.info("peer: {} did not give its configuration: {}", address, error.getMessage());
                } else {
                    receive(document, sent);
                }
            });
        }
        return true;
    }

    private void receive(ConfigDocument document, Knowledge.Moment sent) {
        if (!document.getDocument().isEmpty()) {
            receiver.receive(document.getDocument().toByteArray(), sent.minus(document.getAgeMillis()));
        }
    }

    /** Hands the result of a question to the control thread. */
    <T> void onControl(CompletableFuture<T> answer, BiConsumer<T, Throwable> handler) {
        var unused = answer.whenCompleteAsync(handler, control);
    }
}
