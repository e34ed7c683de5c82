package org.trefoilledge.core.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The tokens of one organisation that a node holds. The pool averages the demand to compute how many tokens to
 * prefetch: a node with many requests asks for tokens a few times a second, a node with few requests asks for each
 * request. Not thread-safe.
 */
public final class TokenPool {
    /** Time constant of the moving average of the demand. */
    private static final double DEMAND_AVERAGE_MILLIS = 1_000;
    /** Share of the token lifetime whose expected demand is prefetched; more tokens would expire unused. */
    private static final double PREFETCH_LIFETIME_SHARE = 0.6;

    private final Deque<Token> tokens = new ArrayDeque<>();
    private double demandPerMilli;
    private long demandUpdatedMillis;

    /** Permission to run one request before it expires, on a clock that also advances while the host is suspended. */
    public record Token(long expiresMillis) {}

    /** Records a request. */
    public void recordDemand(long now) {
        decayDemand(now);
        demandPerMilli += 1 / DEMAND_AVERAGE_MILLIS;
    }

    /** Removes and returns a token that has not expired, if there is one. */
    public Optional<Token> take(long now) {
        removeExpired(now);
        return Optional.ofNullable(tokens.pollFirst());
    }

    /** Returns the number of tokens that have not expired. Changes nothing. */
    public int available(long now) {
        return (int)
                tokens.stream().filter(token -> now < token.expiresMillis()).count();
    }

    /** Adds tokens that were requested at the given time. */
    public void add(int count, long requestedMillis, long lifetimeMillis) {
        for (int i = 0; i < count; i++) {
            tokens.addLast(new Token(requestedMillis + lifetimeMillis));
        }
    }

    /** Puts back the token of a request that has not run, unless the token has expired. */
    public void putBack(Token token, long now) {
        if (now < token.expiresMillis()) {
            tokens.addFirst(token);
        }
    }

    /** Returns the number of tokens to prefetch in addition to those that are needed now. */
    public int prefetchCount(long lifetimeMillis, long now) {
        decayDemand(now);
        removeExpired(now);
        return Math.max(0, (int) Math.floor(demandPerMilli * lifetimeMillis * PREFETCH_LIFETIME_SHARE) - tokens.size());
    }

    private void decayDemand(long now) {
        long elapsed = Math.max(0, now - demandUpdatedMillis);
        demandUpdatedMillis = Math.max(demandUpdatedMillis, now);
        demandPerMilli *= Math.exp(-elapsed / DEMAND_AVERAGE_MILLIS);
    }

    /** Removes expired tokens from the front; tokens are queued in the order of their expiry. */
    private void removeExpired(long now) {
        while (!tokens.isEmpty() && now >= tokens.peekFirst().expiresMillis()) {
            tokens.pollFirst();
        }
    }
}
