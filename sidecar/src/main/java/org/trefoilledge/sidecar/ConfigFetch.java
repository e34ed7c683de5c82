package org.trefoilledge.sidecar;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.wire.generated.ConfigDocument;

/**
 * Processes the configuration versions that peers report: confirms that the local version is the newest, or fetches a
 * newer one from the peer. Used on the control thread.
 */
final class ConfigFetch {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigFetch.class);
    private static final long ANSWER_TIMEOUT_MILLIS = 600;

    private final Executor control;
    private final PeerLinks peers;
    private final ConfigState configState;
    private final Receiver receiver;
    private final LongConsumer onPeerVersion;
    private boolean fetchInFlight;

    /** Receives a configuration document that was the newest one at the given time. */
    @FunctionalInterface
    interface Receiver {
        void receive(byte[] document, ConfigState.Timestamp asOf, ConfigSource source);
    }

    /** @param onPeerVersion receives each version that a peer states, 0 if the peer has no configuration */
    ConfigFetch(
            Executor control, PeerLinks peers, ConfigState configState, Receiver receiver, LongConsumer onPeerVersion) {
        this.control = control;
        this.peers = peers;
        this.configState = configState;
        this.receiver = receiver;
        this.onPeerVersion = onPeerVersion;
    }

    /** Handles a peer's report that the given version was the newest one at the given time. */
    void confirmOrFetch(String address, long version, ConfigState.Timestamp asOf) {
        if (!fetchIfNewer(address, version)) {
            configState.confirm(version, asOf);
        }
    }

    /**
     * Starts to fetch the configuration from a peer if the peer's version is newer than the local one. Only one fetch runs
     * at a time.
     *
     * @return whether the peer's version is newer
     */
    boolean fetchIfNewer(String address, long version) {
        onPeerVersion.accept(version);
        if (version <= configState.version()) {
            return false;
        }
        if (!fetchInFlight) {
            fetchInFlight = true;
            ConfigState.Timestamp sent = configState.now();
            completeOnControlThread(peers.fetchConfig(address, ANSWER_TIMEOUT_MILLIS), (document, error) -> {
                fetchInFlight = false;
                if (error != null) {
                    LOG.info("peer: could not fetch the configuration from {}: {}", address, error.getMessage());
                } else {
                    receive(document, sent);
                }
            });
        }
        return true;
    }

    private void receive(ConfigDocument document, ConfigState.Timestamp sent) {
        if (!document.getDocument().isEmpty()) {
            receiver.receive(
                    document.getDocument().toByteArray(), sent.minus(document.getAgeMillis()), ConfigSource.PEER);
        }
    }

    /** Runs the handler on the control thread when the response arrives or the request fails. */
    <T> void completeOnControlThread(CompletableFuture<T> response, BiConsumer<T, Throwable> handler) {
        var unused = response.whenCompleteAsync(handler, control);
    }
}
