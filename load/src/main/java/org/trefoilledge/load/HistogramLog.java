package org.trefoilledge.load;

import java.io.IOException;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** The latencies of whole answers, one interval a second, in the log format of HdrHistogram (microseconds). */
final class HistogramLog implements AutoCloseable {
    private final HistogramLogWriter writer;

    HistogramLog(Path file) throws IOException {
        writer = new HistogramLogWriter(file.toFile());
        writer.outputComment("latency of whole answers in microseconds, counted from the intended send time");
        writer.outputLogFormatVersion();
        writer.outputLegend();
    }

    synchronized void add(Histogram interval, double fromSeconds, double toSeconds) {
        writer.outputIntervalHistogram(fromSeconds, toSeconds, interval, 1_000.0);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
