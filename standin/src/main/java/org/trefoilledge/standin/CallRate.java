package org.trefoilledge.standin;

import org.trefoilledge.core.Clock;

/** A token bucket that limits a rate of calls. It holds a quarter of a second's calls at most. */
final class CallRate {
    private final double perMillisecond;
    private final double depth;
    private final Clock clock;
    private double tokens;
    private long refilled;

    CallRate(int perSecond, Clock clock) {
        perMillisecond = perSecond / 1000.0;
        depth = Math.max(1, perSecond / 4.0);
        this.clock = clock;
        tokens = depth;
        refilled = clock.millis();
    }

    synchronized boolean tryCall() {
        long now = clock.millis();
        tokens = Math.min(depth, tokens + (now - refilled) * perMillisecond);
        refilled = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
