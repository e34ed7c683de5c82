package org.trefoilledge.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Formats per-second and per-organisation tables as comma-separated values. */
final class CsvReport {
    private CsvReport() {}

    static String seconds(TimeSeries series) {
        List<String> heads = new ArrayList<>(List.of("second", "sent", "whole", "p50_ms", "p99_ms"));
        heads.addAll(series.notWholeByLabel().keySet());
        series.wholeByOrganisation().keySet().forEach(o -> heads.add("whole:" + o));
        StringBuilder text = new StringBuilder(String.join(",", heads)).append('\n');
        for (int i = 0; i < series.seconds(); i++) {
            List<String> cells = new ArrayList<>(List.of(
                    Integer.toString(i),
                    count(series.sent().get(i)),
                    count(series.whole().get(i)),
                    String.format(Locale.ROOT, "%.3f", series.p50Millis().get(i)),
                    String.format(Locale.ROOT, "%.3f", series.p99Millis().get(i))));
            for (Map<String, List<Double>> columns : List.of(series.notWholeByLabel(), series.wholeByOrganisation())) {
                for (List<Double> column : columns.values()) {
                    cells.add(count(column.get(i)));
                }
            }
            text.append(String.join(",", cells)).append('\n');
        }
        return text.toString();
    }

    static String organisations(RunStatistics statistics) {
        String head = "organisation,sent,whole,entitled,ratio,rate_limited,wrongful,within\n";
        return head
                + statistics.organisations().stream()
                        .map(o -> String.format(
                                Locale.ROOT,
                                "%s,%d,%d,%.1f,%.4f,%d,%d,%d%n",
                                o.organisation(),
                                o.sent(),
                                o.whole(),
                                o.entitled(),
                                o.ratio(),
                                o.rateLimited(),
                                o.wrongful().wrongful(),
                                o.wrongful().withinLimit()))
                        .collect(Collectors.joining());
    }

    private static String count(double value) {
        return Long.toString(Math.round(value));
    }
}
