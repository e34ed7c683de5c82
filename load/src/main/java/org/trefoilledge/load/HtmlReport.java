package org.trefoilledge.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Writes the report of an experiment as one self-contained HTML page. */
final class HtmlReport {
    private static final String STYLE = "body{font:14px sans-serif;margin:2em}svg text{font:11px sans-serif}"
            + "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}";

    private HtmlReport() {}

    static String page(Experiment experiment, List<ProfileRun> runs) {
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
        page.append("<title>").append(Html.escape(experiment.name())).append("</title>");
        page.append("<style>").append(STYLE).append("</style></head><body>\n");
        page.append("<h1>").append(Html.escape(experiment.name())).append("</h1>\n");
        appendParagraph(page, experiment.description());
        appendParagraph(page, "Scale: " + experiment.scale() + ". Seed: " + experiment.seed() + ".");
        appendTable(page, runs);
        page.append(SvgPlot.lines("Goodput, whole answers per second", goodput(runs)));
        runs.forEach(run -> appendPlots(page, run));
        return page.append("</body></html>\n").toString();
    }

    private static void appendParagraph(StringBuilder page, String text) {
        page.append("<p>").append(Html.escape(text)).append("</p>\n");
    }

    private static void appendTable(StringBuilder page, List<ProfileRun> runs) {
        page.append("<table><tr><th></th>");
        runs.forEach(
                run -> page.append("<th>").append(Html.escape(run.profile())).append("</th>"));
        page.append("</tr>\n");
        for (SummaryTable.Row row : SummaryTable.rows(runs)) {
            page.append("<tr><td>").append(Html.escape(row.name())).append("</td>");
            row.values().forEach(v -> page.append("<td>").append(Html.escape(v)).append("</td>"));
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private static Map<String, List<Double>> goodput(List<ProfileRun> runs) {
        Map<String, List<Double>> series = new TreeMap<>();
        runs.forEach(run -> series.put(run.profile(), run.series().whole()));
        series.put("sent", runs.get(0).series().sent());
        return series;
    }

    private static void appendPlots(StringBuilder page, ProfileRun run) {
        TimeSeries series = run.series();
        page.append("<h2>Profile ").append(Html.escape(run.profile())).append("</h2>\n");
        run.failures().forEach(failure -> appendParagraph(page, "Action failed: " + failure));
        page.append(SvgPlot.lines("Attempts not answered whole, per second by kind", series.notWholeByLabel()));
        page.append(SvgPlot.lines(
                "Latency of whole answers, ms", Map.of("p50", series.p50Millis(), "p99", series.p99Millis())));
        page.append(SvgPlot.lines("Whole answers per second by organisation", series.wholeByOrganisation()));
    }
}
