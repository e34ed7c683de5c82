package org.trefoilledge.standin;

import org.trefoilledge.core.Clock;

/** A token bucket that limits the rate of calls. Its capacity is the tokens of 250 ms, but at least one. */
final class TokenBucket {
    private final double tokensPerMillisecond;
    private final double capacity;
    private final Clock clock;
    private double tokens;
    private long lastRefillMillis;

    TokenBucket(int tokensPerSecond, Clock clock) {
        tokensPerMillisecond = tokensPerSecond / 1000.0;
        capacity = Math.max(1, tokensPerSecond / 4.0);
        this.clock = clock;
        tokens = capacity;
        lastRefillMillis = clock.millis();
    }

    synchronized boolean tryAcquire() {
        long now = clock.millis();
        tokens = Math.min(capacity, tokens + (now - lastRefillMillis) * tokensPerMillisecond);
        lastRefillMillis = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
