package org.trefoilledge.core.overload;

import org.trefoilledge.core.RouteId;

/**
 * Learns how many concurrent calls an upstream handles well, for upstreams that slow down before their slots are full. The
 * limit stays at the announced slots unless a {@link LimitTrial} shows that a lower limit has more throughput, and is
 * raised again unless a trial shows that the higher limit has less. An upstream that becomes slower for any other reason
 * keeps its limit, because fewer concurrent calls would only lose throughput. Not thread-safe.
 */
final class LearnedCapacity implements CallLimit {
    /** Slots below which a step of one slot is too coarse to be worth a trial. */
    private static final int MIN_SLOTS = 4;
    /** Smallest limit as a fraction of the slots. */
    private static final double MIN_LIMIT_FRACTION = 0.3;
    /** Size of a step as a fraction of the slots. */
    private static final double STEP_FRACTION = 0.045;
    /** Lower limits that trials compare with the present one, as fractions of it. Large cuts are decided soonest. */
    private static final double[] CUT_FRACTIONS = {0.6, 0.5, 0.75};
    /** The last lower limit that is tried, in steps below the present one. Two steps show a knee more clearly than one. */
    private static final int CUT_STEPS = 2;
    /** Fruitless rounds with large cuts while the service time at low concurrency is not known. */
    private static final int MAX_BLIND_ROUNDS = 1;
    /** Slow-down, as a logarithm, below which no lower limit is tried. */
    private static final double MIN_LOG_SLOWDOWN = 0.05;
    /** Growth of the slow-down, as a logarithm, after which lower limits are tried again at once. */
    private static final double LOG_SLOWDOWN_CHANGE = 0.25;
    /** A lower limit has to gain at least this part of the throughput, a higher one may lose at most this part. */
    private static final double CUT_MARGIN = 0.03;

    private static final double RAISE_MARGIN = 0.02;
    /** Time after a change of the limit before the next trial. */
    private static final long SETTLING_MILLIS = 3_000;
    /** First and longest interval of trials that change nothing; a trial costs up to a tenth of the throughput. */
    private static final long MIN_TRIAL_INTERVAL_MILLIS = 20_000;

    private static final long MAX_TRIAL_INTERVAL_MILLIS = 60_000;
    /** Time after which a trial ends although too few calls compare the limits: a lower limit is then raised, others stay. */
    private static final long MAX_TRIAL_MILLIS = 30_000;
    /** Time without calls at low concurrency after which their service time counts as not known. */
    private static final long LOW_CONCURRENCY_EXPIRY_MILLIS = 20_000;
    /** Fraction of the calls that start at the limit from which lower limits are tried. */
    private static final double MIN_FULL_FRACTION = 0.03;
    /** Fraction of the calls that start at the limit from which the upstream counts as full. */
    private static final double FULL_FRACTION = 0.6;
    /** Weight of one call in the moving averages. */
    private static final double SMOOTHING = 0.05;

    /** Smaller, so that an episode of slow calls does not look like an effect of concurrency. */
    private static final double SLOWDOWN_SMOOTHING = 0.015;

    private static final double VARIANCE_SMOOTHING = 0.01;
    private static final double INITIAL_VARIANCE = 0.25;

    private final ServiceTimes times = new ServiceTimes();
    private int slots;
    private int limit;
    private LimitTrial trial;
    private boolean raising;
    /** Rounds of trials since the last change of the limit that found no better one. */
    private int fruitlessRounds;

    private long trialStartMillis;
    private int nextCut;
    /** Steps of the next higher limit; doubled while higher limits are found to be no worse. */
    private int raiseSteps = 1;

    private long nextCutMillis;
    /** Earliest time of trials of lower limits if calls have become slower. */
    private long nextEarlyCutMillis;

    private long nextRaiseMillis;
    private long cutIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
    private long raiseIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
    private double fullFraction;
    /** Variance of the logarithm of relative durations, from calls that ended one after the other. */
    private double variance = INITIAL_VARIANCE;

    private double previousLogDuration;
    private double meanDurationMillis;
    /** Moving average of the logarithm of durations near the limit, relative to those at low concurrency. */
    private double logSlowdown;

    private boolean measuredSlowdown;
    private long lastLowConcurrencyMillis;
    /** The slow-down when lower limits were last found not to be better. */
    private double rejectedLogSlowdown;

    /** A running call. */
    static final class Sample {
        private final ServiceTimes.Route route;
        private final long startedMillis;
        private final int running;
        private final LimitTrial.Entry entry;

        Sample(ServiceTimes.Route route, long startedMillis, int running, LimitTrial.Entry entry) {
            this.route = route;
            this.startedMillis = startedMillis;
            this.running = running;
            this.entry = entry;
        }
    }

    LearnedCapacity(int slots) {
        this.slots = slots;
        this.limit = slots;
    }

    /** Sets the announced slots. A change starts the learning again. */
    @Override
    public void resize(int newSlots) {
        if (newSlots != slots) {
            slots = newSlots;
            restart();
        }
    }

    @Override
    public void offer(long now) {
        // Only calls that run are measured.
    }

    @Override
    public void restart() {
        limit = slots;
        trial = null;
        times.clear();
        fruitlessRounds = 0;
        nextCut = 0;
        raiseSteps = 1;
        nextCutMillis = 0;
        nextRaiseMillis = 0;
        cutIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
        raiseIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
        fullFraction = 0;
        meanDurationMillis = 0;
        logSlowdown = 0;
        measuredSlowdown = false;
        rejectedLogSlowdown = 0;
    }

    /** Returns the learned limit, without the alternation of a trial. */
    @Override
    public int reported(long now) {
        return limit;
    }

    @Override
    public int current(long now) {
        return trial == null ? limit : trial.limit(limit, now);
    }

    @Override
    public double serviceTimeMillis(RouteId route, long now) {
        return times.meanMillis(route, now);
    }

    @Override
    public double relativeSpeed() {
        return measuredSlowdown ? Math.exp(-logSlowdown) : 1;
    }

    @Override
    public void start(PendingCall call, int running, long now) {
        ServiceTimes.Route route = times.start(call.call.route(), now);
        boolean full = running >= current(now);
        fullFraction += ((full ? 1 : 0) - fullFraction) * SMOOTHING;
        advanceTrial(now);
        call.sample = new Sample(route, now, running, trial == null ? null : trial.enter(running));
    }

    @Override
    public void end(PendingCall call, CallEnd end, long now) {
        Sample sample = call.sample;
        double duration = (double) (now - sample.startedMillis);
        double logDuration = sample.route.logRelative(duration);
        recordEntry(sample, end, logDuration);
        boolean low = sample.running * 2 <= slots;
        lastLowConcurrencyMillis = low ? now : lastLowConcurrencyMillis;
        switch (end) {
            case COMPLETED -> {
                times.complete(sample.route, duration, low, now);
                recordCompletion(sample, duration, logDuration);
            }
            case COMPLETED_WITH_CALLS -> times.complete(sample.route, duration, low, now);
            case FAILED -> times.fail(sample.route, duration, now);
            case ABANDONED -> times.abandon(sample.route, now);
        }
    }

    private static void recordEntry(Sample sample, CallEnd end, double logDuration) {
        if (sample.entry == null) {
            return;
        }
        // A call that failed or was abandoned has at least its duration; a short one says nothing.
        boolean counts = end == CallEnd.COMPLETED || (end != CallEnd.COMPLETED_WITH_CALLS && logDuration > 0);
        if (counts) {
            sample.entry.complete(logDuration);
        } else {
            sample.entry.discard();
        }
    }

    private void recordCompletion(Sample sample, double duration, double logDuration) {
        double bounded = LimitTrial.bounded(logDuration);
        double difference = bounded - previousLogDuration;
        previousLogDuration = bounded;
        variance += (difference * difference / 2 - variance) * VARIANCE_SMOOTHING;
        meanDurationMillis += (duration - meanDurationMillis) * (meanDurationMillis == 0 ? 1 : SMOOTHING);
        if (sample.running >= limit * 0.9 && sample.route.knowsLowConcurrency()) {
            logSlowdown += (sample.route.logSlowdown(duration) - logSlowdown) * SLOWDOWN_SMOOTHING;
            measuredSlowdown = true;
        }
    }

    private void advanceTrial(long now) {
        if (trial == null && slots >= MIN_SLOTS && meanDurationMillis > 0) {
            startTrial(now);
        }
        if (trial == null) {
            return;
        }
        trial.advance(now, fullFraction >= FULL_FRACTION, meanDurationMillis, variance);
        LimitTrial.Result result = trial.result();
        if (result == LimitTrial.Result.UNDECIDED && now - trialStartMillis > MAX_TRIAL_MILLIS) {
            result = LimitTrial.Result.INCONCLUSIVE;
        }
        if (result != LimitTrial.Result.UNDECIDED) {
            endTrial(result, now);
        }
    }

    private void startTrial(long now) {
        if (limit < slots && now >= nextRaiseMillis) {
            raising = true;
            trial = new LimitTrial(limit, Math.min(slots, limit + raiseSteps * step()), RAISE_MARGIN, step());
        } else if (fullFraction >= MIN_FULL_FRACTION && (now >= nextCutMillis || hasSlowedDown(now))) {
            raising = false;
            int lower = nextCutLimit(now);
            if (lower < limit) {
                trial = new LimitTrial(lower, limit, CUT_MARGIN, step());
            }
        }
        trialStartMillis = now;
    }

    /** Returns the lower limit of the next trial; the present limit if no lower one can be better. */
    private int nextCutLimit(long now) {
        for (; nextCut <= CUT_FRACTIONS.length; nextCut++) {
            boolean smallest = nextCut == CUT_FRACTIONS.length;
            int lower = smallest ? limit - CUT_STEPS * step() : (int) (limit * CUT_FRACTIONS[nextCut]);
            // At a lower limit, calls take at least as long as at low concurrency, which bounds the gain.
            double needed = smallest ? MIN_LOG_SLOWDOWN : Math.log((double) limit / lower);
            boolean promising =
                    knowsSlowdown(now) ? logSlowdown > needed : smallest || fruitlessRounds < MAX_BLIND_ROUNDS;
            if (lower >= slots * MIN_LIMIT_FRACTION && promising) {
                return lower;
            }
        }
        nextCut = 0;
        return limit;
    }

    private void endTrial(LimitTrial.Result result, long now) {
        boolean lowerIsBetter = result == LimitTrial.Result.LOWER_IS_BETTER;
        if (raising) {
            endRaise(lowerIsBetter, now);
        } else if (lowerIsBetter) {
            limit = trial.lower;
            raiseSteps = 1;
            nextRaiseMillis = now;
            raiseIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
            nextCut = 0;
            nextCutMillis = now + SETTLING_MILLIS;
            cutIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
            fruitlessRounds = 0;
        } else {
            endCut(now);
        }
        trial = null;
    }

    private void endRaise(boolean lowerIsBetter, long now) {
        if (lowerIsBetter && raiseSteps > 1) {
            raiseSteps = 1;
        } else if (lowerIsBetter) {
            nextRaiseMillis = now + raiseIntervalMillis;
            raiseIntervalMillis = Math.min(MAX_TRIAL_INTERVAL_MILLIS, raiseIntervalMillis * 2);
        } else {
            raiseSteps *= 2;
            limit = trial.upper;
            nextRaiseMillis = now;
            raiseIntervalMillis = MIN_TRIAL_INTERVAL_MILLIS;
        }
        nextCutMillis = Math.max(nextCutMillis, now + SETTLING_MILLIS);
    }

    private void endCut(long now) {
        nextCut++;
        if (nextCut > CUT_FRACTIONS.length) {
            nextCut = 0;
            nextCutMillis = now + cutIntervalMillis;
            cutIntervalMillis = Math.min(MAX_TRIAL_INTERVAL_MILLIS, cutIntervalMillis * 2);
            nextEarlyCutMillis = now + MIN_TRIAL_INTERVAL_MILLIS;
            rejectedLogSlowdown = logSlowdown;
            fruitlessRounds++;
        }
    }

    /** Returns whether calls near the limit have become slower since lower limits were last rejected. */
    private boolean hasSlowedDown(long now) {
        return now >= nextEarlyCutMillis
                && knowsSlowdown(now)
                && logSlowdown > rejectedLogSlowdown + LOG_SLOWDOWN_CHANGE;
    }

    private boolean knowsSlowdown(long now) {
        return measuredSlowdown && now - lastLowConcurrencyMillis < LOW_CONCURRENCY_EXPIRY_MILLIS;
    }

    private int step() {
        return Math.max(1, (int) Math.round(slots * STEP_FRACTION));
    }
}
