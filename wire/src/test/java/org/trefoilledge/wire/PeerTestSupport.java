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

/** Identities, messages and waiting for the tests of the transport. */
final class PeerTestSupport {
    /** Never answers. */
    static final PeerHandler SILENT = (from, request, responder) -> {};

    /** Repeats each call. */
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

    /** Returns an answer that repeats the target and the body of a call. */
    static Envelope echoResponse(Envelope request) {
        return Envelope.newBuilder()
                .setCallAnswer(CallAnswer.newBuilder()
                        .setUpstream(request.getCall().getTarget())
                        .setBody(request.getCall().getBody()))
                .build();
    }

    static PeerException awaitFailure(CompletableFuture<Envelope> answer) {
        Throwable failure = catchThrowable(answer::get);
        assertThat(failure).isInstanceOf(ExecutionException.class).hasCauseInstanceOf(PeerException.class);
        return (PeerException) failure.getCause();
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + AWAIT_NANOS;
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition within 10 s").isLessThan(end);
            Thread.sleep(2);
        }
    }
}
