package org.trefoilledge.core.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The tokens of one organisation that a node holds, and the demand by which it asks for more before they are needed: a
 * node with many requests asks a few times a second, one with few requests asks for each of them. Not thread-safe.
 */
public final class TokenStock {
    /** Time over which demand is averaged. */
    private static final double AVERAGE_MILLIS = 1_000;
    /** Part of a token's life for which tokens are held ahead; the rest of them would lapse unused. */
    private static final double AHEAD_PART = 0.6;

    private final Deque<Token> tokens = new ArrayDeque<>();
    private double perMilli;
    private long demandMillis;

    /** The right to run one request, up to a time on the clock that counts suspensions. */
    public record Token(long lapsesMillis) {}

    /** Counts a request. */
    public void demanded(long now) {
        decay(now);
        perMilli += 1 / AVERAGE_MILLIS;
    }

    /** Takes a token that has not lapsed. */
    public Optional<Token> take(long now) {
        drop(now);
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
        if (now < token.lapsesMillis()) {
            tokens.addFirst(token);
        }
    }

    /** Returns how many tokens to ask for beside those that are needed at once. */
    public int ahead(long lifeMillis, long now) {
        decay(now);
        drop(now);
        return Math.max(0, (int) Math.floor(perMilli * lifeMillis * AHEAD_PART) - tokens.size());
    }

    private void decay(long now) {
        long elapsed = Math.max(0, now - demandMillis);
        demandMillis = Math.max(demandMillis, now);
        perMilli *= Math.exp(-elapsed / AVERAGE_MILLIS);
    }

    private void drop(long now) {
        tokens.removeIf(token -> now >= token.lapsesMillis());
    }
}
