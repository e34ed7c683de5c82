package org.trefoilledge.wire;

import java.util.function.Consumer;
import org.trefoilledge.wire.generated.Envelope;

/** Handles the requests of peers. The methods run on a network thread and must not block. */
public interface PeerHandler {
    /**
     * Handles one request. The responder may be called from any thread, at most once; further calls have no effect. It
     * sets the stream and the response flag of the envelope itself.
     */
    void handle(PeerIdentity from, Envelope request, Consumer<Envelope> responder);

    /**
     * Tells that the peer no longer waits for the response to a request, which is named by the stream of its envelope.
     * The peer cancelled it, or the connection closed before the response. Streams are unique for each identity.
     */
    default void onCancelled(PeerIdentity from, long stream) {}
}
