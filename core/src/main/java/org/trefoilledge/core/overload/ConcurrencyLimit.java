package org.trefoilledge.core.overload;

/**
 * The number of calls that may run at once. It compares the mean latency of the last window with a long-term baseline
 * and falls when latency has grown. When a cut has not lowered latency, the slowness does not come from concurrency:
 * the limit is restored and the baseline is raised for a while, because a lower limit would only cost throughput.
 */
final class ConcurrencyLimit {
    private static final double COLD_START_SHARE = 0.1;
    private static final double COLD_START_DOUBLING_MILLIS = 1_000;
    private static final long WINDOW_MILLIS = 100;
    private static final long LONGEST_WINDOW_MILLIS = 1_000;
    /** With 50 samples the standard error of the mean of exponential latencies is 14%. */
    private static final int WINDOW_SAMPLES = 50;
    /** The first window sets the baseline; calls that end within it are shorter than usual unless it is long. */
    private static final long FIRST_WINDOW_MILLIS = 1_000;
    /** Latency over the baseline by this factor is taken for queueing inside the upstream. */
    private static final double TOLERANCE = 2.0;
    /** Latency under the baseline times this factor leaves room for fast growth. */
    private static final double CALM = 1.3;

    private static final double DEEPEST_CUT = 0.5;
    private static final double LIGHTEST_CUT = 0.75;
    private static final long PROBE_INTERVAL_MILLIS = 10_000;

    private final boolean adaptive;
    private final boolean coldStart;
    private int slots;
    private double limit;
    private long coldSinceMillis = -1;
    private double serviceMillis;
    private double baselineMillis;
    private double calmBaselineMillis;
    private long probeAtMillis;
    private long windowStartMillis = -1;
    private int samples;
    private double latencySum;
    private Cut lastCut;

    private record Cut(double limitBefore, double latencyMillis, double throughput, boolean probe) {}

    ConcurrencyLimit(int slots, boolean adaptive, boolean coldStart) {
        this.slots = slots;
        this.limit = slots;
        this.adaptive = adaptive;
        this.coldStart = coldStart;
    }

    void configure(int newSlots) {
        if (newSlots != slots) {
            limit = Math.max(1, limit * newSlots / slots);
            slots = newSlots;
        }
    }

    /** Starts the ramp with the first call, because an upstream without traffic does not warm up. */
    void started(long now) {
        if (coldSinceMillis < 0) {
            coldSinceMillis = now;
        }
    }

    int current(long now) {
        return (int) Math.max(1, Math.floor(Math.min(limit, ramp(now)) + 1e-9));
    }

    /** Returns the usual time from run to finished in milliseconds, 0 while it is unknown. */
    double serviceMillis() {
        return serviceMillis;
    }

    /**
     * Takes one finished call into account. A failed or cancelled call says only that its service time was at least
     * the measured one, so it counts when it took longer than usual.
     */
    void sample(long startedMillis, boolean succeeded, long now) {
        double latency = Math.max(0.5, (double) (now - startedMillis));
        if (!succeeded && latency < serviceMillis) {
            return;
        }
        learnService(latency);
        if (windowStartMillis < 0) {
            windowStartMillis = now;
        }
        if (now >= windowStartMillis) {
            samples++;
            latencySum += latency;
        }
        if (windowComplete(now)) {
            closeWindow(now);
        }
    }

    /** Follows falling service times faster than rising ones, so that a healed upstream is used again at once. */
    private void learnService(double latency) {
        if (serviceMillis == 0) {
            serviceMillis = latency;
            return;
        }
        serviceMillis += (latency - serviceMillis) * (latency < serviceMillis ? 0.1 : 0.05);
    }

    private double ramp(long now) {
        if (!coldStart || coldSinceMillis < 0) {
            return coldStart ? slots * COLD_START_SHARE : slots;
        }
        double doublings = Math.min(30, (now - coldSinceMillis) / COLD_START_DOUBLING_MILLIS);
        return Math.min(slots, slots * COLD_START_SHARE * Math.pow(2, doublings));
    }

    private boolean windowComplete(long now) {
        long age = now - windowStartMillis;
        if (age < (baselineMillis == 0 ? FIRST_WINDOW_MILLIS : WINDOW_MILLIS)) {
            return false;
        }
        return samples >= WINDOW_SAMPLES || (age >= LONGEST_WINDOW_MILLIS && samples > 0);
    }

    private void closeWindow(long now) {
        double latency = latencySum / samples;
        double throughput = (double) samples / (now - windowStartMillis);
        startWindow(now);
        if (adaptive) {
            adapt(latency, throughput, now);
        }
    }

    private void startWindow(long startMillis) {
        windowStartMillis = startMillis;
        samples = 0;
        latencySum = 0;
    }

    private void adapt(double latency, double throughput, long now) {
        if (lastCut != null && !cutHelped(latency, throughput)) {
            limit = lastCut.limitBefore();
            lastCut = null;
            raiseBaseline(latency, now);
            return;
        }
        if (lastCut != null && lastCut.probe()) {
            baselineMillis = calmBaselineMillis;
            calmBaselineMillis = 0;
        }
        lastCut = null;
        learnBaseline(latency);
        if (throughput * latency >= current(now) / 2.0 && (probeDue(now) || latency > baselineMillis * TOLERANCE)) {
            cut(latency, throughput, now);
        } else if (latency <= baselineMillis * CALM) {
            limit = Math.min(slots, limit * 1.25 + 1);
        } else if (latency <= baselineMillis * TOLERANCE) {
            limit = Math.min(slots, limit + Math.max(0.25, limit * 0.01));
        }
    }

    /** A cut to a share c leaves throughput and lowers latency to c when concurrency was the cause, else the reverse. */
    private boolean cutHelped(double latency, double throughput) {
        return throughput / lastCut.throughput() > latency / lastCut.latencyMillis();
    }

    private void cut(double latency, double throughput, long now) {
        double before = current(now);
        boolean probe = latency <= baselineMillis * TOLERANCE;
        double share = Math.min(LIGHTEST_CUT, Math.max(DEEPEST_CUT, baselineMillis * TOLERANCE / latency));
        lastCut = new Cut(before, latency, throughput, probe);
        limit = Math.max(1, before * share);
        // Calls that were started before the cut still show the old latency.
        startWindow(now + (long) latency);
    }

    /** While the baseline is raised, a cut now and then shows whether concurrency has become the cause after all. */
    private boolean probeDue(long now) {
        return calmBaselineMillis > 0 && now >= probeAtMillis;
    }

    /** The earlier baseline moves half the way, so that one that was too low is corrected by repeated probes. */
    private void raiseBaseline(double latency, long now) {
        double calm = calmBaselineMillis == 0 ? baselineMillis : calmBaselineMillis;
        calmBaselineMillis = Math.sqrt(calm * latency);
        baselineMillis = latency;
        probeAtMillis = now + PROBE_INTERVAL_MILLIS;
        forgetCalmBaseline();
    }

    private void learnBaseline(double latency) {
        if (baselineMillis == 0) {
            baselineMillis = latency;
        } else if (latency < baselineMillis) {
            baselineMillis += (latency - baselineMillis) / 8;
        } else if (latency < baselineMillis * CALM) {
            baselineMillis += (latency - baselineMillis) / 32;
        }
        forgetCalmBaseline();
    }

    private void forgetCalmBaseline() {
        if (baselineMillis <= calmBaselineMillis * CALM) {
            calmBaselineMillis = 0;
        }
    }
}
