package org.trefoilledge.core.limit;

/** An exact token bucket, used as a reference. */
final class ExactTokenBucket {
    private double level;
    private long at;

    ExactTokenBucket(double level, long at) {
        this.level = level;
        this.at = at;
    }

    /** Returns the level at the given time, in tokens. */
    double level(double rate, double burst, long now) {
        level = Math.min(burst, level + rate * (now - at) / 1_000.0);
        at = now;
        return level;
    }

    boolean take(double rate, double burst, long now) {
        if (level(rate, burst, now) < 1 - 1e-6) {
            return false;
        }
        level -= 1;
        return true;
    }
}
