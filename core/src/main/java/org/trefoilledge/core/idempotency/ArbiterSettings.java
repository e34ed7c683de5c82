package org.trefoilledge.core.idempotency;

/**
 * Bounds of an arbiter's table.
 *
 * @param horizonMillis how long an outcome is kept after it is known
 * @param answerBytes largest response that is kept
 * @param totalBytes bound for all kept responses; a response beyond it is not kept
 * @param ids bound for the number of ids; a new id beyond it is refused, because forgetting one could run it twice
 * @param clockToleranceMillis how far the clock of a caller that creates UUIDv7 ids may be behind or ahead
 */
public record ArbiterSettings(
        long horizonMillis, int answerBytes, long totalBytes, int ids, long clockToleranceMillis) {
    /** The settings of a node: 64 KiB for one response, 48 MiB and 200,000 ids in all. */
    public static final ArbiterSettings DEFAULT = new ArbiterSettings(600_000, 64 << 10, 48L << 20, 200_000, 2_000);

    /** Checks that every bound is positive. */
    public ArbiterSettings {
        if (horizonMillis <= 0 || answerBytes <= 0 || totalBytes <= 0 || ids <= 0 || clockToleranceMillis < 0) {
            throw new IllegalArgumentException("the bounds of the arbiter table must be positive");
        }
    }

    /** Returns these settings with another horizon. */
    public ArbiterSettings withHorizonMillis(long millis) {
        return new ArbiterSettings(millis, answerBytes, totalBytes, ids, clockToleranceMillis);
    }
}
