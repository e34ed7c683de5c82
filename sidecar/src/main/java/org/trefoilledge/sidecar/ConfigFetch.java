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
    private static final long ANSWER_TIMEOUT_MILLIS = 600;

    private final Executor control;
    private final PeerLinks peers;
    private final ConfigState configState;
    private final Receiver receiver;
    private boolean fetchInFlight;

    /** Takes a configuration that a peer knows to have been the newest one at a time. */
    @FunctionalInterface
    interface Receiver {
        void receive(byte[] document, ConfigState.Timestamp asOf);
    }

    ConfigFetch(Executor control, PeerLinks peers, ConfigState knowledge, Receiver receiver) {
        this.control = control;
        this.peers = peers;
        this.configState = knowledge;
        this.receiver = receiver;
    }

    /** Takes the news that a peer knew the version to be the newest one at a time. */
    void confirmOrFetch(String address, long version, ConfigState.Timestamp asOf) {
        if (!fetchIfNewer(address, version)) {
            configState.confirm(version, asOf);
        }
    }

    /** Fetches the configuration of a peer if its version is newer; returns whether it is. */
    boolean fetchIfNewer(String address, long version) {
        if (version <= configState.version()) {
            return false;
        }
        if (!fetchInFlight) {
            fetchInFlight = true;
            ConfigState.Timestamp sent = configState.now();
            completeOnControlThread(peers.fetchConfig(address, ANSWER_TIMEOUT_MILLIS), (document, error) -> {
                fetchInFlight = false;
                if (error != null) {
                    LOG.info("peer: {} did not give its configuration: {}", address, error.getMessage());
                } else {
                    receive(document, sent);
                }
            });
        }
        return true;
    }

    private void receive(ConfigDocument document, ConfigState.Timestamp sent) {
        if (!document.getDocument().isEmpty()) {
            receiver.receive(document.getDocument().toByteArray(), sent.minus(document.getAgeMillis()));
        }
    }

    /** Hands the result of a question to the control thread. */
    <T> void completeOnControlThread(CompletableFuture<T> answer, BiConsumer<T, Throwable> handler) {
        var unused = answer.whenCompleteAsync(handler, control);
    }
}
