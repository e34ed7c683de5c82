package org.trefoilledge.core.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The tokens of one organisation that a node holds, and the demand by which it asks for more before they are needed: a
 * node with many requests asks a few times a second, one with few requests asks for each of them. Not thread-safe.
 */
public final class TokenPool {
    /** Time over which demand is averaged. */
    private static final double DEMAND_AVERAGE_MILLIS = 1_000;
    /** Part of a token's life for which tokens are held ahead; the rest of them would lapse unused. */
    private static final double PREFETCH_LIFETIME_SHARE = 0.6;

    private final Deque<Token> tokens = new ArrayDeque<>();
    private double demandPerMilli;
    private long demandUpdatedMillis;

    /** The right to run one request, up to a time on the clock that counts suspensions. */
    public record Token(long expiresMillis) {}

    /** Counts a request. */
    public void recordDemand(long now) {
        decayDemand(now);
        demandPerMilli += 1 / DEMAND_AVERAGE_MILLIS;
    }

    /** Takes a token that has not lapsed. */
    public Optional<Token> take(long now) {
        removeExpired(now);
        return Optional.ofNullable(tokens.pollFirst());
    }

    /** Adds tokens that were asked for at the given time. */
    public void add(int count, long askedMillis, long lifeMillis) {
        for (int i = 0; i < count; i++) {
            tokens.addLast(new Token(askedMillis + lifeMillis));
        }
    }

    /** Puts back the token of a request that has not run. */
    public void putBack(Token token, long now) {
        if (now < token.expiresMillis()) {
            tokens.addFirst(token);
        }
    }

    /** Returns how many tokens to ask for beside those that are needed at once. */
    public int prefetchCount(long lifeMillis, long now) {
        decayDemand(now);
        removeExpired(now);
        return Math.max(0, (int) Math.floor(demandPerMilli * lifeMillis * PREFETCH_LIFETIME_SHARE) - tokens.size());
    }

    private void decayDemand(long now) {
        long elapsed = Math.max(0, now - demandUpdatedMillis);
        demandUpdatedMillis = Math.max(demandUpdatedMillis, now);
        demandPerMilli *= Math.exp(-elapsed / DEMAND_AVERAGE_MILLIS);
    }

    private void removeExpired(long now) {
        tokens.removeIf(token -> now >= token.expiresMillis());
    }
}
