package org.trefoilledge.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Records the attempts, root requests and latencies of one run. Thread-safe. */
final class RunRecorder {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<RootRequest> roots = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final LongAdder sent = new LongAdder();
    private final LongAdder whole = new LongAdder();
    private final Map<String, LongAdder> notWhole = new ConcurrentHashMap<>();
    private final Recorder latencies = new Recorder(SIGNIFICANT_DIGITS);

    void sent() {
        sent.increment();
    }

    void recordFinished(Attempt attempt) {
        synchronized (attempts) {
            attempts.add(attempt);
        }
        if (!attempt.result().whole()) {
            notWhole.computeIfAbsent(attempt.result().label(), k -> new LongAdder())
                    .increment();
        }
    }

    void recordFinished(RootRequest root) {
        synchronized (roots) {
            roots.add(root);
        }
        if (root.whole()) {
            whole.increment();
            latencies.recordValue(Math.max(0, root.latencyMicros()));
        }
    }

    List<RootRequest> roots() {
        synchronized (roots) {
            return List.copyOf(roots);
        }
    }

    List<Attempt> attempts() {
        synchronized (attempts) {
            return List.copyOf(attempts);
        }
    }

    long sentCount() {
        return sent.sum();
    }

    long wholeCount() {
        return whole.sum();
    }

    /** Returns attempts that were not answered whole, by label. */
    Map<String, Long> notWholeCounts() {
        Map<String, Long> counts = new TreeMap<>();
        notWhole.forEach((label, count) -> counts.put(label, count.sum()));
        return counts;
    }

    /** Returns the latencies of whole answers, in microseconds, since the last call. */
    Histogram intervalLatencies() {
        return latencies.getIntervalHistogram();
    }
}
