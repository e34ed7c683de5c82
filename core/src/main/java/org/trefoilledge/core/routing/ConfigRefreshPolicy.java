package org.trefoilledge.core.routing;

import java.util.random.RandomGenerator;

/**
 * Decides when a node reads the configuration from the store. Other nodes can confirm that its version is the newest one, so
 * that it seldom has to read. If they do not, its own reads keep the time for which its version may be outdated within a
 * bound, also if one read is not answered. Not thread-safe.
 */
public final class ConfigRefreshPolicy {
    /** Age, as a part of the bound, at which a collector reads. It does so early, because other nodes rely on it. */
    private static final double COLLECTOR_AGE = 0.3;
    /** Age, as a part of the bound, at which other nodes read. */
    private static final double NODE_AGE = 0.65;
    /** Part of the bound over which the reads of nodes are spread that lose their collector at the same time. */
    private static final double AGE_JITTER = 0.1;
    /** Part of the bound after which the next read is sent if the last one has not been answered or has failed. */
    private static final double REPEAT_INTERVAL = 0.2;

    private final long boundMillis;
    private final RandomGenerator random;
    private long nextReadMillis = Long.MIN_VALUE / 2;
    private double jitter;

    /** @param boundMillis longest time for which the configuration of a node may be outdated */
    public ConfigRefreshPolicy(long boundMillis, RandomGenerator random) {
        this.boundMillis = boundMillis;
        this.random = random;
        drawJitter();
    }

    /**
     * Returns the time until the next read is due in milliseconds, 0 if it is due now.
     *
     * @param ageMillis time since the version of this node was last known to be the newest one
     * @param collecting whether this node is the collector of its zone
     */
    public long millisUntilRead(long ageMillis, boolean collecting, long now) {
        double age = (collecting ? COLLECTOR_AGE : NODE_AGE) + jitter;
        long untilMaxAge = Math.round(age * boundMillis) - ageMillis;
        return Math.max(0, Math.max(untilMaxAge, nextReadMillis - now));
    }

    /** Records that a read is sent now. */
    public void recordRead(long now) {
        nextReadMillis = now + Math.round(REPEAT_INTERVAL * boundMillis);
        drawJitter();
    }

    private void drawJitter() {
        jitter = random.nextDouble(AGE_JITTER);
    }
}
