package org.trefoilledge.wire;

import java.util.function.Consumer;
import org.trefoilledge.wire.generated.Envelope;

/** Handles requests from peers. The methods run on a network thread and must not block. */
public interface PeerHandler {
    /**
     * Handles a request. The responder sends the response. It may be called from any thread; only the first call has an
     * effect. It sets the stream id and the response flag of the envelope.
     */
    void handle(PeerIdentity from, Envelope request, Consumer<Envelope> responder);

    /**
     * Called when the peer no longer waits for the response to a request, because the peer cancelled the request or the
     * connection closed before the response. The stream id of the request's envelope identifies the request; it is
     * unique for each peer identity.
     */
    default void onCancelled(PeerIdentity from, long streamId) {}
}
