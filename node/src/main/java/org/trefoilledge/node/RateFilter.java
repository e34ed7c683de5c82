package org.trefoilledge.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.limit.TokenBorrower;

/** Takes one token of the organisation for each root request on a route that needs a key. */
final class RateFilter implements Filter {
    /** How long a request without a token waits for a loan; one round trip to another zone takes about 2 ms. */
    private static final long WAIT_MILLIS = 25;

    private static final long POLL_MILLIS = 5;

    private final TokenBorrower wallet;
    private final AuthenticationFilter authentication;
    private final ScheduledExecutorService timer;
    private final Clock clock;

    RateFilter(TokenBorrower wallet, AuthenticationFilter authentication, ScheduledExecutorService timer, Clock clock) {
        this.wallet = wallet;
        this.authentication = authentication;
        this.timer = timer;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        if (exchange.parent().isPresent() || exchange.route().open()) {
            return next.proceed(exchange);
        }
        if (wallet.tryAcquire(exchange.organisation(), clock.millis())) {
            return next.proceed(exchange);
        }
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        waitForToken(exchange, next, clock.millis() + WAIT_MILLIS, answer);
        return answer;
    }

    private void waitForToken(Exchange exchange, Next next, long until, CompletableFuture<Answer> answer) {
        var unused = timer.schedule(() -> retry(exchange, next, until, answer), POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void retry(Exchange exchange, Next next, long until, CompletableFuture<Answer> answer) {
        long now = clock.millis();
        if (!authentication.stillGranted(exchange)) {
            answer.complete(Answer.refused(ErrorKind.KEY_UNKNOWN, "the key was withdrawn while the request waited"));
        } else if (wallet.retryAcquire(exchange.organisation(), now)) {
            Futures.forward(next.proceed(exchange), answer);
        } else if (now < until && !exchange.cancelled()) {
            waitForToken(exchange, next, until, answer);
        } else {
            answer.complete(refusal(exchange, now));
        }
    }

    private Answer refusal(Exchange exchange, long now) {
        long retryAfter = wallet.retryAfterMillis(exchange.organisation(), now, ThreadLocalRandom.current());
        return Answer.refused(ErrorKind.RATE_LIMITED, retryAfter, "organisation " + exchange.organisation());
    }
}
