package org.trefoilledge.load;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Prints one line per second of a run and writes the latencies of each second to the histogram log. */
final class ProgressPrinter implements AutoCloseable {
    private final RunRecorder recorder;
    private final PrintWriter out;
    private final HistogramLog log;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "load-progress");
        thread.setDaemon(true);
        return thread;
    });
    private int second;
    private long sent;
    private long whole;
    private Map<String, Long> notWhole = Map.of();

    ProgressPrinter(RunRecorder recorder, PrintWriter out, HistogramLog log) {
        this.recorder = recorder;
        this.out = out;
        this.log = log;
    }

    void start() {
        var unused = timer.scheduleAtFixedRate(this::printLine, 1, 1, TimeUnit.SECONDS);
    }

    private synchronized void printLine() {
        Histogram latencies = recorder.intervalLatencies();
        log.add(latencies, second, second + 1);
        second++;
        long nowSent = recorder.sentCount();
        long nowWhole = recorder.wholeCount();
        Map<String, Long> nowNotWhole = recorder.notWholeCounts();
        out.printf(
                Locale.ROOT,
                "%4d s  sent %5d  whole %5d  p50 %7.1f ms  p99 %7.1f ms  %s%n",
                second,
                nowSent - sent,
                nowWhole - whole,
                latencies.getValueAtPercentile(50) / 1e3,
                latencies.getValueAtPercentile(99) / 1e3,
                difference(nowNotWhole));
        out.flush();
        sent = nowSent;
        whole = nowWhole;
        notWhole = nowNotWhole;
    }

    private Map<String, Long> difference(Map<String, Long> now) {
        Map<String, Long> difference = new TreeMap<>();
        now.forEach((label, count) -> {
            long more = count - notWhole.getOrDefault(label, 0L);
            if (more > 0) {
                difference.put(label, more);
            }
        });
        return difference;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
