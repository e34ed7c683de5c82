package org.trefoilledge.core.overload;

import org.trefoilledge.core.RouteId;

/**
 * Adaptive limit of the concurrent calls to one upstream. The limit is cut when the mean latency of a measurement
 * window exceeds {@link #OVERLOAD_LATENCY_RATIO} times a long-term baseline. If the cut does not reduce latency,
 * concurrency is not the cause: the limit is restored and the baseline is raised temporarily, because a lower limit
 * would only reduce throughput.
 */
final class ConcurrencyLimit implements CallLimit {
    private static final double COLD_START_SHARE = 0.1;
    private static final double COLD_START_DOUBLING_MILLIS = 1_000;
    private static final long MIN_WINDOW_MILLIS = 100;
    private static final long MAX_WINDOW_MILLIS = 1_000;
    /** With 50 samples the standard error of the mean of exponential latencies is 14%. */
    private static final int MIN_WINDOW_SAMPLES = 50;
    /** Samples needed to evaluate a cut; with 50, noise caused a wrong result in about one of ten evaluations. */
    private static final int MIN_SAMPLES_AFTER_CUT = 150;

    /** The first window sets the baseline. In a shorter window, mostly calls with short latency would finish. */
    private static final long MIN_FIRST_WINDOW_MILLIS = 1_000;
    /** Latency above this multiple of the baseline indicates queueing inside the upstream. */
    private static final double OVERLOAD_LATENCY_RATIO = 2.0;
    /** Below this multiple of the baseline the limit grows fast. */
    private static final double NORMAL_LATENCY_RATIO = 1.3;

    private static final double MIN_CUT_FACTOR = 0.5;
    private static final double MAX_CUT_FACTOR = 0.65;
    private static final long PROBE_INTERVAL_MILLIS = 10_000;

    private final boolean adaptive;
    private final boolean coldStart;
    private int slots;
    private double limit;
    private long rampStartMillis = -1;
    /** Moving average of the latency of calls in milliseconds, 0 before the first sample. */
    private double serviceTimeMillis;

    private double baselineMillis;
    /** Estimate of the baseline before it was raised; 0 if it is not raised. */
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

    @Override
    public void resize(int newSlots) {
        if (newSlots != slots) {
            limit = Math.max(1, limit * newSlots / slots);
            slots = newSlots;
        }
    }

    /** Starts the cold-start ramp at the first call, because an upstream without traffic does not warm up. */
    @Override
    public void offer(long now) {
        if (rampStartMillis < 0) {
            rampStartMillis = now;
        }
    }

    @Override
    public int current(long now) {
        return (int) Math.max(1, Math.floor(Math.min(limit, rampLimit(now)) + 1e-9));
    }

    @Override
    public int reported(long now) {
        return current(now);
    }

    @Override
    public void start(PendingCall call, int running, long now) {
        // Only the end of a call is measured.
    }

    @Override
    public void end(PendingCall call, CallEnd end, long now) {
        recordCall(call.startedMillis, end.succeeded(), now);
    }

    /** Changes nothing: the limit follows the latency of whatever upstream is there. */
    @Override
    public void restart() {}

    @Override
    public double serviceTimeMillis(RouteId route, long now) {
        return 0;
    }

    @Override
    public double relativeSpeed() {
        return 1;
    }

    /**
     * Records the latency of a finished call. The latency of a failed or cancelled call is only a lower bound of the
     * service time, so it is ignored unless it is at least the average.
     */
    private void recordCall(long startedMillis, boolean succeeded, long now) {
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

    /** Adapts to falling service times faster than to rising ones, so that a recovered upstream is used again soon. */
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

    /**
     * Returns whether the last cut reduced latency more than throughput. If concurrency is the cause of the latency, a
     * cut to a fraction c reduces latency to c and keeps throughput; otherwise it reduces throughput to c and keeps
     * latency.
     */
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
        // Calls that started before the cut still have the previous latency, so they are left out of the next window.
        startWindow(now + (long) latency);
    }

    /** Returns whether a periodic probe is due: a cut that tests whether concurrency causes the raised latency. */
    private boolean isProbeDue(long now) {
        return previousBaselineMillis > 0 && now >= nextProbeMillis;
    }

    /**
     * Raises the baseline to the given latency. The previous baseline becomes the geometric mean of both, so that
     * repeated probes correct a baseline that is too low.
     */
    private void raiseBaseline(double latency, long now) {
        double previous = previousBaselineMillis == 0 ? baselineMillis : previousBaselineMillis;
        previousBaselineMillis = Math.sqrt(previous * latency);
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

    /** Discards the previous baseline when the current one has come close to it, which also ends the probes. */
    private void discardPreviousBaselineIfReached() {
        if (baselineMillis <= previousBaselineMillis * NORMAL_LATENCY_RATIO) {
            previousBaselineMillis = 0;
        }
    }
}
