package org.trefoilledge.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.trefoilledge.core.Importance;

/** The closing table of a run: one column for each profile. */
final class SummaryTable {
    private SummaryTable() {}

    /** A line of the table: a name and one value for each profile. */
    record Row(String name, List<String> values) {
        Row {
            values = List.copyOf(values);
        }
    }

    static List<Row> rows(List<ProfileRun> runs) {
        List<RunStatistics> all = runs.stream().map(ProfileRun::statistics).toList();
        List<Row> rows = new ArrayList<>();
        add(rows, "sent", all, f -> Long.toString(f.total().sent()));
        add(rows, "whole answers", all, f -> Long.toString(f.total().whole()));
        add(rows, "goodput, whole/s", all, f -> format("%.1f", f.total().wholePerSecond()));
        add(rows, "whole of sent", all, f -> percent(f.total().wholeShare()));
        for (Importance importance : Importance.values()) {
            if (all.stream().anyMatch(f -> f.total().countsByImportance().containsKey(importance))) {
                String name = "whole of sent, " + importance.name().toLowerCase(Locale.ROOT);
                add(rows, name, all, f -> percent(f.total().wholeShare(importance)));
            }
        }
        add(
                rows,
                "p50 / p99, ms",
                all,
                f -> format("%.1f / %.1f", f.total().p50Millis(), f.total().p99Millis()));
        add(rows, "attempts per request", all, f -> format("%.2f", f.attemptsPerRoot()));
        if (all.stream().anyMatch(f -> f.recovery().isPresent())) {
            add(rows, "recovery to 95%", all, f -> f.recovery()
                    .map(RecoveryTime::text)
                    .orElse("-"));
        }
        add(rows, "worst-served organisation", all, SummaryTable::worst);
        add(rows, "wrongful refusals", all, SummaryTable::wrongful);
        add(rows, "wasted executions", all, SummaryTable::wasted);
        all.stream()
                .flatMap(f -> f.notWhole().keySet().stream())
                .distinct()
                .sorted()
                .forEach(label -> add(
                        rows,
                        "attempts: " + label,
                        all,
                        f -> Long.toString(f.notWhole().getOrDefault(label, 0L))));
        addPhases(rows, all);
        return rows;
    }

    private static void addPhases(List<Row> rows, List<RunStatistics> all) {
        for (int i = 0; i < all.get(0).phases().size(); i++) {
            int index = i;
            String name = "phase " + all.get(0).phases().get(i).phase().name();
            add(rows, name + ": sent/s, whole/s", all, f -> {
                PhaseStatistics phase = f.phases().get(index);
                double seconds = phase.phase().toSeconds() - phase.phase().fromSeconds();
                return format("%.0f, %.0f", phase.sent() / seconds, phase.wholePerSecond());
            });
            add(
                    rows,
                    name + ": whole of sent, critical",
                    all,
                    f -> percent(f.phases().get(index).wholeShare(Importance.CRITICAL)));
            add(
                    rows,
                    name + ": p99, ms",
                    all,
                    f -> format("%.1f", f.phases().get(index).p99Millis()));
        }
    }

    private static String worst(RunStatistics statistics) {
        return statistics
                .worstServed()
                .map(o -> format("%s %.3f", o.organisation(), o.ratio()))
                .orElse("-");
    }

    private static String wrongful(RunStatistics statistics) {
        WrongfulRefusals wrongful = statistics.wrongful();
        return format("%d of %d (%s)", wrongful.wrongful(), wrongful.withinLimit(), percent(wrongful.share()));
    }

    private static String wasted(RunStatistics statistics) {
        WastedExecutions wasted = statistics.wasted();
        return format(
                "%d late + %d for nothing of %d (%s)",
                wasted.late(), wasted.unneeded(), wasted.executions(), percent(wasted.share()));
    }

    private static void add(
            List<Row> rows,
            String name,
            List<RunStatistics> all,
            java.util.function.Function<RunStatistics, String> value) {
        rows.add(new Row(name, all.stream().map(value).toList()));
    }

    static String text(List<ProfileRun> runs) {
        List<Row> rows = new ArrayList<>();
        rows.add(new Row("", runs.stream().map(ProfileRun::profile).toList()));
        rows.addAll(rows(runs));
        int first = rows.stream().mapToInt(r -> r.name().length()).max().orElse(0);
        int other = rows.stream()
                .flatMap(r -> r.values().stream())
                .mapToInt(String::length)
                .max()
                .orElse(0);
        StringBuilder text = new StringBuilder();
        for (Row row : rows) {
            StringBuilder line = new StringBuilder(padded(row.name(), first));
            row.values().forEach(v -> line.append("  ").append(padded(v, other)));
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private static String padded(String text, int width) {
        return text + " ".repeat(width - text.length());
    }

    private static String percent(double share) {
        return format("%.2f%%", 100 * share);
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
