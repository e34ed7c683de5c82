package org.trefoilledge.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies for each second of a run. Sent requests count at their intended send time, everything else
 * when it ended.
 *
 * @param whole whole answers
 * @param notWholeByLabel attempts that were not answered whole, by label
 * @param wholeByOrganisation whole answers by organisation
 */
record TimeSeries(
        int seconds,
        List<Double> sent,
        List<Double> whole,
        List<Double> p50Millis,
        List<Double> p99Millis,
        Map<String, List<Double>> notWholeByLabel,
        Map<String, List<Double>> wholeByOrganisation) {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    static TimeSeries of(double durationSeconds, List<RootRequest> roots, List<Attempt> attempts) {
        int seconds = (int) Math.ceil(durationSeconds);
        double[] sent = new double[seconds];
        double[] whole = new double[seconds];
        Map<String, double[]> wholeByOrganisation = new TreeMap<>();
        List<Histogram> latencies = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            latencies.add(new Histogram(SIGNIFICANT_DIGITS));
        }
        for (RootRequest root : roots) {
            add(sent, root.intendedSeconds());
            double[] perSecond = wholeByOrganisation.computeIfAbsent(root.organisation(), o -> new double[seconds]);
            if (root.whole() && add(whole, root.endSeconds())) {
                add(perSecond, root.endSeconds());
                latencies.get((int) root.endSeconds()).recordValue(Math.max(0, root.latencyMicros()));
            }
        }
        return new TimeSeries(
                seconds,
                list(sent),
                list(whole),
                percentile(latencies, 50),
                percentile(latencies, 99),
                lists(notWholeByLabel(attempts, seconds)),
                lists(wholeByOrganisation));
    }

    private static Map<String, double[]> notWholeByLabel(List<Attempt> attempts, int seconds) {
        Map<String, double[]> series = new TreeMap<>();
        for (Attempt attempt : attempts) {
            if (!attempt.result().whole()) {
                double[] perSecond = series.computeIfAbsent(attempt.result().label(), l -> new double[seconds]);
                add(perSecond, attempt.endMicros() / 1e6);
            }
        }
        return series;
    }

    private static boolean add(double[] series, double seconds) {
        int index = (int) Math.floor(seconds);
        if (index < 0 || index >= series.length) {
            return false;
        }
        series[index]++;
        return true;
    }

    private static List<Double> percentile(List<Histogram> latencies, double percentile) {
        return latencies.stream()
                .map(h -> h.getValueAtPercentile(percentile) / MICROS_PER_MILLI)
                .toList();
    }

    private static List<Double> list(double[] values) {
        return Arrays.stream(values).boxed().toList();
    }

    private static Map<String, List<Double>> lists(Map<String, double[]> series) {
        Map<String, List<Double>> lists = new TreeMap<>();
        series.forEach((name, values) -> lists.put(name, list(values)));
        return lists;
    }
}
