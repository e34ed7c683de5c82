package org.trefoilledge.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A line plot over seconds as inline SVG. */
final class SvgPlot {
    private static final int WIDTH = 860;
    private static final int HEIGHT = 260;
    private static final int LEFT = 60;
    private static final int TOP = 10;
    private static final int PLOT_WIDTH = 620;
    private static final int PLOT_HEIGHT = 220;
    private static final int TICKS = 5;
    private static final int LEGEND_LINE = 16;
    private static final List<String> COLOURS = List.of(
            "#1f77b4", "#d62728", "#2ca02c", "#ff7f0e", "#9467bd", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22",
            "#17becf");

    private SvgPlot() {}

    static String lines(String title, Map<String, List<Double>> series) {
        int seconds = series.values().stream().mapToInt(List::size).max().orElse(1);
        double top = axisMaximum(series.values().stream()
                .flatMap(List::stream)
                .mapToDouble(d -> d)
                .filter(Double::isFinite)
                .max()
                .orElse(1));
        StringBuilder svg = new StringBuilder();
        svg.append(format("<h3>%s</h3>%n", Html.escape(title)));
        svg.append(format("<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\">%n", WIDTH, HEIGHT, WIDTH, HEIGHT));
        appendAxes(svg, seconds, top);
        int index = 0;
        for (Map.Entry<String, List<Double>> entry : series.entrySet()) {
            String colour = COLOURS.get(index % COLOURS.size());
            appendLine(svg, entry.getValue(), seconds, top, colour);
            appendLegend(svg, entry.getKey(), index++, colour);
        }
        return svg.append("</svg>\n").toString();
    }

    private static void appendAxes(StringBuilder svg, int seconds, double top) {
        for (int i = 0; i <= TICKS; i++) {
            double y = TOP + PLOT_HEIGHT * (1 - i / (double) TICKS);
            double x = LEFT + PLOT_WIDTH * i / (double) TICKS;
            svg.append(format(
                    "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#ddd\"/>%n",
                    LEFT, y, LEFT + PLOT_WIDTH, y));
            svg.append(format(
                    "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%s</text>%n",
                    LEFT - 6, y + 4, formatNumber(top * i / TICKS)));
            svg.append(format(
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s s</text>%n",
                    x, TOP + PLOT_HEIGHT + 18, formatNumber(seconds * i / (double) TICKS)));
        }
    }

    private static void appendLine(StringBuilder svg, List<Double> values, int seconds, double top, String colour) {
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < values.size(); i++) {
            double x = LEFT + PLOT_WIDTH * (i + 0.5) / seconds;
            double y = TOP + PLOT_HEIGHT * (1 - values.get(i) / top);
            points.append(format("%.1f,%.1f ", x, y));
        }
        svg.append(format(
                "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>%n",
                colour, points.toString().trim()));
    }

    private static void appendLegend(StringBuilder svg, String name, int index, String colour) {
        int y = TOP + 10 + index * LEGEND_LINE;
        int x = LEFT + PLOT_WIDTH + 12;
        svg.append(format(
                "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/><text x=\"%d\" y=\"%d\">%s</text>%n",
                x, y - 9, colour, x + 14, y, Html.escape(name)));
    }

    /** Returns the next 1, 2 or 5 times a power of ten that is not below the value. */
    static double axisMaximum(double value) {
        double power = Math.pow(10, Math.floor(Math.log10(Math.max(value, 1e-3))));
        for (double factor : new double[] {1, 2, 5}) {
            if (value <= factor * power) {
                return factor * power;
            }
        }
        return 10 * power;
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : format("%.1f", value);
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
