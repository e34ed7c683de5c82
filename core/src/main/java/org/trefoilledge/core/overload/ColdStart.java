package org.trefoilledge.core.overload;

import java.util.OptionalLong;

/**
 * Limits the requests to an upstream while it is cold or may be cold. Answers the load of an upstream that starts, or
 * loses its caches, while the fleet sends it a full share of the traffic. All requests to the upstream must ask this
 * object, so the limit holds for the whole fleet. Not thread-safe.
 *
 * <p>The upstream may be cold from the start of this object and from each {@link #suspect} on, until an announcement or a
 * probe that was sent afterwards states otherwise, and whenever announcements are missing. The clock must include the time
 * for which the machine was suspended.
 */
public final class ColdStart {
    /**
     * Longest time between the sending of an announcement and its arrival. Upstreams give an announcement up after a
     * second, so one that arrives later than this after an event was sent after it.
     */
    public static final long MAX_ANNOUNCEMENT_DELAY_MILLIS = 1_000;

    /** Intervals without an announcement after which one is missing: less than two, more than the usual jitter. */
    private static final double MAX_INTERVALS = 1.75;

    private static final double MILLIS_PER_SECOND = 1_000;
    /** Tolerance of the comparison of tokens, far below the tokens of one millisecond. */
    private static final double EPSILON = 1e-9;

    private static final long NONE = Long.MIN_VALUE;

    private final long maxSilenceMillis;
    private ColdRate rate;
    private double tokens;
    private long refilledMillis;
    private long runStartedMillis = NONE;
    private long coldUntilMillis;
    /** Time at which the run was first announced if its announcements do not state whether it is cold. */
    private long unstatedSinceMillis = NONE;

    private boolean suspected = true;
    private long lastEventMillis;
    /** Time from which an announcement of the same run ends the suspicion. */
    private long trustFromMillis;
    /** Time of the last announcement, or of the last probe that found the upstream warm. */
    private long lastHeardMillis;

    /**
     * Creates the state of an upstream that may be cold and may just have received its allowance from an earlier run of
     * this node.
     *
     * @param announcementIntervalMillis interval between announcements of the upstream
     */
    public ColdStart(ColdRate rate, long announcementIntervalMillis, long now) {
        this.rate = rate;
        this.maxSilenceMillis = Math.round((double) announcementIntervalMillis * MAX_INTERVALS);
        this.refilledMillis = now;
        this.coldUntilMillis = now;
        this.lastEventMillis = now;
        this.trustFromMillis = now;
        this.lastHeardMillis = now;
    }

    /** Replaces the rate. Tokens above the new capacity are dropped. */
    public void configure(ColdRate newRate, long now) {
        refill(now);
        rate = newRate;
        tokens = Math.min(tokens, newRate.burst());
    }

    /**
     * Records an announcement.
     *
     * @param startedMillis start time of the announced run, which differs between runs
     * @param coldRemainingMillis time for which the upstream is still cold, 0 if it is warm, empty if it is not stated
     */
    public void announce(long startedMillis, OptionalLong coldRemainingMillis, long now) {
        boolean newRun = startedMillis != runStartedMillis;
        boolean wasCold = mayBeCold(now);
        runStartedMillis = startedMillis;
        lastHeardMillis = now;
        if (coldRemainingMillis.isPresent()) {
            unstatedSinceMillis = NONE;
        } else if (newRun) {
            unstatedSinceMillis = now;
        }
        long announcedUntil = now + coldRemainingMillis.orElse(0);
        // An announcement that was sent before the last event says nothing about the upstream as it is now.
        if (newRun || now >= trustFromMillis) {
            suspected = false;
            coldUntilMillis = announcedUntil;
        } else {
            coldUntilMillis = Math.max(coldUntilMillis, announcedUntil);
        }
        dropTokensIfTurnedCold(wasCold, now);
    }

    /** Records an event after which the upstream may be another process, or cold without having said so. */
    public void suspect(long now) {
        suspected = true;
        lastEventMillis = now;
        trustFromMillis = now + MAX_ANNOUNCEMENT_DELAY_MILLIS;
    }

    /**
     * Records the response of the announced upstream to a probe. Has no effect if an event followed the sending.
     *
     * @param sentMillis time at which the probe was sent
     * @param coldRemainingMillis time for which the upstream is still cold, 0 if it is warm
     */
    public void recordProbe(long sentMillis, long coldRemainingMillis, long now) {
        if (sentMillis < lastEventMillis) {
            return;
        }
        boolean wasCold = mayBeCold(now);
        suspected = false;
        unstatedSinceMillis = NONE;
        lastHeardMillis = now;
        if (coldRemainingMillis > 0) {
            coldUntilMillis = Math.max(coldUntilMillis, now + coldRemainingMillis);
            // A late announcement, sent before the upstream was cold, must not undo this.
            trustFromMillis = now + MAX_ANNOUNCEMENT_DELAY_MILLIS;
        }
        dropTokensIfTurnedCold(wasCold, now);
    }

    /** Returns whether the upstream is cold, or may be. */
    public boolean mayBeCold(long now) {
        return isKnownCold(now) || isUncertain(now);
    }

    /** Returns whether an announcement or a probe has stated that the upstream is cold now. */
    public boolean isKnownCold(long now) {
        return now < coldUntilMillis;
    }

    /** Returns whether the upstream may be cold for another reason than a statement of its own, so that a probe helps. */
    public boolean isUncertain(long now) {
        boolean unstated = unstatedSinceMillis != NONE && now - unstatedSinceMillis < rate.coldMillis();
        return suspected || unstated || now - lastHeardMillis > maxSilenceMillis;
    }

    /** Returns the number of requests that may be sent now if the upstream may be cold. */
    public int available(long now) {
        refill(now);
        return (int) (tokens + EPSILON);
    }

    /** Takes the allowance of one request that is sent now; returns false if it must not be sent. */
    public boolean tryStart(long now) {
        if (!mayBeCold(now)) {
            return true;
        }
        if (available(now) < 1) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /**
     * Returns the time until the given number of requests may be sent, in milliseconds; {@link Long#MAX_VALUE} if the rate
     * allows none.
     */
    public long waitMillis(int requests, long now) {
        refill(now);
        if (rate.perSecond() <= 0) {
            return Long.MAX_VALUE;
        }
        double missing = Math.max(0, requests - tokens);
        return (long) Math.ceil(missing / rate.perSecond() * MILLIS_PER_SECOND - EPSILON);
    }

    /** The requests that were sent while the upstream was believed to be warm have used up its allowance. */
    private void dropTokensIfTurnedCold(boolean wasCold, long now) {
        if (!wasCold && mayBeCold(now)) {
            refill(now);
            tokens = 0;
        }
    }

    private void refill(long now) {
        if (now > refilledMillis) {
            double added = (double) (now - refilledMillis) * rate.perSecond() / MILLIS_PER_SECOND;
            tokens = Math.min(rate.burst(), tokens + added);
            refilledMillis = now;
        }
    }
}
