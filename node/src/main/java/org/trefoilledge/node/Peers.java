package org.trefoilledge.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.trefoilledge.core.Clock;
import org.trefoilledge.wire.PeerException;
import org.trefoilledge.wire.PeerTransport;
import org.trefoilledge.wire.generated.Call;
import org.trefoilledge.wire.generated.Envelope;

/** Sends calls to other nodes. */
final class Peers {
    /** Time after the deadline in which the peer's own refusal can still arrive. */
    private static final long GRACE_MILLIS = 50;

    private final PeerTransport transport;
    private final Clock clock;

    Peers(PeerTransport transport, Clock clock) {
        this.transport = transport;
        this.clock = clock;
    }

    /** Sends a call to a guard. A cancellation of the exchange is passed on. */
    CompletableFuture<Dispatcher.Reply> call(String address, Call call, Exchange exchange) {
        CompletableFuture<Envelope> answer = ask(address, call, exchange);
        exchange.onCancel(() -> transport.cancel(answer));
        return reply(answer);
    }

    /**
     * Sends a claim to an arbiter. A caller that goes away does not cancel it, because its repeat must find the outcome
     * of the first attempt.
     */
    CompletableFuture<Dispatcher.Reply> claim(String address, Call call, Exchange exchange) {
        return reply(ask(address, call, exchange));
    }

    private CompletableFuture<Envelope> ask(String address, Call call, Exchange exchange) {
        long timeout = Math.max(1, exchange.deadlineMillis() - clock.millis()) + GRACE_MILLIS;
        return transport.sendRequest(
                address, Envelope.newBuilder().setCall(call).build(), timeout);
    }

    private static CompletableFuture<Dispatcher.Reply> reply(CompletableFuture<Envelope> answer) {
        return answer.handle((message, error) -> {
            if (error != null) {
                return Dispatcher.Reply.lost(sent(error));
            }
            return message.hasCallAnswer() ? Dispatcher.Reply.of(message.getCallAnswer()) : Dispatcher.Reply.lost(true);
        });
    }

    private static boolean sent(Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return !(cause instanceof PeerException lost) || lost.maybeSent();
    }
}
