package org.trefoilledge.core.overload;

/**
 * The number of calls that may run at once. It compares the mean latency of the last window with a long-term baseline
 * and falls when latency has grown. When a cut has not lowered latency, the slowness does not come from concurrency:
 * the limit is restored and the baseline is raised for a while, because a lower limit would only cost throughput.
 */
final class ConcurrencyLimit {
    private static final double COLD_START_SHARE = 0.1;
    private static final double COLD_START_DOUBLING_MILLIS = 1_000;
    private static final long MIN_WINDOW_MILLIS = 100;
    private static final long MAX_WINDOW_MILLIS = 1_000;
    /** With 50 samples the standard error of the mean of exponential latencies is 14%. */
    private static final int MIN_WINDOW_SAMPLES = 50;
    /** The window that judges a cut is longer: with 50 samples, noise decided about one verdict in ten wrongly. */
    private static final int MIN_SAMPLES_AFTER_CUT = 150;

    /** The first window sets the baseline; calls that end within it are shorter than usual unless it is long. */
    private static final long MIN_FIRST_WINDOW_MILLIS = 1_000;
    /** Latency over the baseline by this factor is taken for queueing inside the upstream. */
    private static final double OVERLOAD_LATENCY_RATIO = 2.0;
    /** Latency under the baseline times this factor leaves room for fast growth. */
    private static final double NORMAL_LATENCY_RATIO = 1.3;

    private static final double MIN_CUT_FACTOR = 0.5;
    private static final double MAX_CUT_FACTOR = 0.65;
    private static final long PROBE_INTERVAL_MILLIS = 10_000;

    private final boolean adaptive;
    private final boolean coldStart;
    private int slots;
    private double limit;
    private long rampStartMillis = -1;
    private double serviceTimeMillis;
    private double baselineMillis;
    private double previousBaselineMillis;
    private long nextProbeMillis;
    private long windowStartMillis = -1;
    private int samples;
    private double latencySum;
    private Cut pendingCut;

    private record Cut(double previousLimit, double previousLatencyMillis, double previousThroughput, boolean probe) {}

    ConcurrencyLimit(int slots, boolean adaptive, boolean coldStart) {
        this.slots = slots;
        this.limit = slots;
        this.adaptive = adaptive;
        this.coldStart = coldStart;
    }

    void resize(int newSlots) {
        if (newSlots != slots) {
            limit = Math.max(1, limit * newSlots / slots);
            slots = newSlots;
        }
    }

    /** Starts the ramp with the first call, because an upstream without traffic does not warm up. */
    void startRamp(long now) {
        if (rampStartMillis < 0) {
            rampStartMillis = now;
        }
    }

    int current(long now) {
        return (int) Math.max(1, Math.floor(Math.min(limit, rampLimit(now)) + 1e-9));
    }

    /** Returns the usual time from run to finished in milliseconds, 0 while it is unknown. */
    double serviceTimeMillis() {
        return serviceTimeMillis;
    }

    /**
     * Takes one finished call into account. A failed or cancelled call says only that its service time was at least
     * the measured one, so it counts when it took longer than usual.
     */
    void recordCall(long startedMillis, boolean succeeded, long now) {
        double latency = Math.max(0.5, (double) (now - startedMillis));
        if (!succeeded && latency < serviceTimeMillis) {
            return;
        }
        updateServiceTime(latency);
        if (windowStartMillis < 0) {
            windowStartMillis = now;
        }
        if (now >= windowStartMillis) {
            samples++;
            latencySum += latency;
        }
        if (isWindowComplete(now)) {
            closeWindow(now);
        }
    }

    /** Follows falling service times faster than rising ones, so that a healed upstream is used again at once. */
    private void updateServiceTime(double latency) {
        if (serviceTimeMillis == 0) {
            serviceTimeMillis = latency;
            return;
        }
        serviceTimeMillis += (latency - serviceTimeMillis) * (latency < serviceTimeMillis ? 0.1 : 0.05);
    }

    private double rampLimit(long now) {
        if (!coldStart || rampStartMillis < 0) {
            return coldStart ? slots * COLD_START_SHARE : slots;
        }
        double doublings = Math.min(30, (now - rampStartMillis) / COLD_START_DOUBLING_MILLIS);
        return Math.min(slots, slots * COLD_START_SHARE * Math.pow(2, doublings));
    }

    private boolean isWindowComplete(long now) {
        long age = now - windowStartMillis;
        if (age < (baselineMillis == 0 ? MIN_FIRST_WINDOW_MILLIS : MIN_WINDOW_MILLIS)) {
            return false;
        }
        return samples >= (pendingCut == null ? MIN_WINDOW_SAMPLES : MIN_SAMPLES_AFTER_CUT)
                || (age >= MAX_WINDOW_MILLIS && samples > 0);
    }

    private void closeWindow(long now) {
        double latency = latencySum / samples;
        double throughput = (double) samples / (now - windowStartMillis);
        startWindow(now);
        if (adaptive) {
            adjustLimit(latency, throughput, now);
        }
    }

    private void startWindow(long startMillis) {
        windowStartMillis = startMillis;
        samples = 0;
        latencySum = 0;
    }

    private void adjustLimit(double latency, double throughput, long now) {
        if (pendingCut != null && !wasCutEffective(latency, throughput)) {
            limit = pendingCut.previousLimit();
            pendingCut = null;
            raiseBaseline(latency, now);
            return;
        }
        if (pendingCut != null && pendingCut.probe()) {
            baselineMillis = previousBaselineMillis;
            previousBaselineMillis = 0;
        }
        pendingCut = null;
        updateBaseline(latency);
        if (throughput * latency >= current(now) / 2.0
                && (isProbeDue(now) || latency > baselineMillis * OVERLOAD_LATENCY_RATIO)) {
            cutLimit(latency, throughput, now);
        } else if (latency <= baselineMillis * NORMAL_LATENCY_RATIO) {
            limit = Math.min(slots, limit * 1.25 + 1);
        } else if (latency <= baselineMillis * OVERLOAD_LATENCY_RATIO) {
            limit = Math.min(slots, limit + Math.max(0.25, limit * 0.01));
        }
    }

    /** A cut to a share c leaves throughput and lowers latency to c when concurrency was the cause, else the reverse. */
    private boolean wasCutEffective(double latency, double throughput) {
        return throughput / pendingCut.previousThroughput() > latency / pendingCut.previousLatencyMillis();
    }

    private void cutLimit(double latency, double throughput, long now) {
        double before = current(now);
        boolean probe = latency <= baselineMillis * OVERLOAD_LATENCY_RATIO;
        double share =
                Math.min(MAX_CUT_FACTOR, Math.max(MIN_CUT_FACTOR, baselineMillis * OVERLOAD_LATENCY_RATIO / latency));
        pendingCut = new Cut(before, latency, throughput, probe);
        limit = Math.max(1, before * share);
        // Calls that were started before the cut still show the old latency.
        startWindow(now + (long) latency);
    }

    /** While the baseline is raised, a cut now and then shows whether concurrency has become the cause after all. */
    private boolean isProbeDue(long now) {
        return previousBaselineMillis > 0 && now >= nextProbeMillis;
    }

    /** The earlier baseline moves half the way, so that one that was too low is corrected by repeated probes. */
    private void raiseBaseline(double latency, long now) {
        double calm = previousBaselineMillis == 0 ? baselineMillis : previousBaselineMillis;
        previousBaselineMillis = Math.sqrt(calm * latency);
        baselineMillis = latency;
        nextProbeMillis = now + PROBE_INTERVAL_MILLIS;
        discardPreviousBaselineIfReached();
    }

    private void updateBaseline(double latency) {
        if (baselineMillis == 0) {
            baselineMillis = latency;
        } else if (latency < baselineMillis) {
            baselineMillis += (latency - baselineMillis) / 8;
        } else if (latency < baselineMillis * NORMAL_LATENCY_RATIO) {
            baselineMillis += (latency - baselineMillis) / 32;
        }
        discardPreviousBaselineIfReached();
    }

    private void discardPreviousBaselineIfReached() {
        if (baselineMillis <= previousBaselineMillis * NORMAL_LATENCY_RATIO) {
            previousBaselineMillis = 0;
        }
    }
}
