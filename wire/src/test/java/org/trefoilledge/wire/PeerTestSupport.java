package org.trefoilledge.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.CallAnswer;
import org.trefoilledge.wire.generated.Envelope;

/** Handlers, identities, messages and waiting for the tests of the transport. */
final class PeerTestSupport {
    /** Never responds. */
    static final PeerHandler SILENT = (from, request, responder) -> {};

    /** Responds to each call with its target and body. */
    static final PeerHandler ECHO = (from, request, responder) -> responder.accept(echoResponse(request));

    private static final long AWAIT_NANOS = 10_000_000_000L;

    private PeerTestSupport() {}

    static PeerIdentity identity(String host, long incarnation) {
        return new PeerIdentity(new HostId(host), new ZoneId("z1"), new Incarnation(incarnation));
    }

    static Envelope call(String target) {
        return Envelope.newBuilder()
                .setCall(Call.newBuilder().setTarget(target))
                .build();
    }

    /** Returns a response with the target and the body of a call. */
    static Envelope echoResponse(Envelope request) {
        return Envelope.newBuilder()
                .setCallAnswer(CallAnswer.newBuilder()
                        .setUpstream(request.getCall().getTarget())
                        .setBody(request.getCall().getBody()))
                .build();
    }

    /** Waits until a request has failed and returns the failure. */
    static PeerException awaitFailure(CompletableFuture<Envelope> response) {
        Throwable failure = catchThrowable(response::get);
        assertThat(failure).isInstanceOf(ExecutionException.class).hasCauseInstanceOf(PeerException.class);
        return (PeerException) failure.getCause();
    }

    /** Waits until the condition holds, at most 10 s. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + AWAIT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition within 10 s").isLessThan(deadlineNanos);
            Thread.sleep(2);
        }
    }
}
