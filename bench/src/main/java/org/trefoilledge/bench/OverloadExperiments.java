package org.trefoilledge.bench;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.overload.GuardSettings;
import org.trefoilledge.core.overload.Mechanism;

/**
 * Runs overload experiments on a {@link QueueModel}. Usage: {@code OverloadExperiments SEEDS [MECHANISM ...]}. Prints
 * the mean, minimum and maximum of each metric over the given number of seeds (101, 102, ...), with the named
 * mechanisms disabled ({@code ALL} disables all of them).
 */
public final class OverloadExperiments {
    private static final long FIRST_SEED = 101;
    /** Rate of the greedy organisation, as a multiple of its fair share. */
    private static final double GREEDY_RATE_FACTOR = 6;

    private static final int FAIR_ORGANISATION_COUNT = 7;

    /** The experiments by name; the method that runs an experiment describes its metrics. */
    private static final Map<String, Experiment> EXPERIMENTS = createExperiments();

    private OverloadExperiments() {}

    private interface Experiment {
        Map<String, Double> run(long seed, Set<Mechanism> disabled);
    }

    /** An upstream that announces {@code slots} and executes up to {@code workers} calls at once. */
    private record Upstream(int slots, int workers, double meanServiceMillis) {
        double capacityPerSecond() {
            return workers * 1000 / meanServiceMillis;
        }

        QueueModel createModel(long seed, Set<Mechanism> disabled) {
            EnumSet<Mechanism> enabled = EnumSet.allOf(Mechanism.class);
            enabled.removeAll(disabled);
            return new QueueModel(
                    GuardSettings.defaults(slots).withMechanisms(enabled), workers, meanServiceMillis, seed);
        }
    }

    /** Prints the metrics of all experiments. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        EnumSet<Mechanism> disabled = EnumSet.noneOf(Mechanism.class);
        for (int i = 1; i < args.length; i++) {
            disabled.addAll(
                    args[i].equals("ALL") ? EnumSet.allOf(Mechanism.class) : Set.of(Mechanism.valueOf(args[i])));
        }
        EXPERIMENTS.keySet().forEach(name -> System.out.println(summarise(name, seeds, disabled)));
    }

    /** Runs one experiment and returns its metrics by name. */
    static Map<String, Double> run(String experiment, long seed, Set<Mechanism> disabled) {
        return EXPERIMENTS.get(experiment).run(seed, disabled);
    }

    private static Map<String, Experiment> createExperiments() {
        Upstream fast = new Upstream(40, 40, 20);
        Upstream courier = new Upstream(10, 10, 100);
        Upstream wide = new Upstream(90, 90, 50);
        Map<String, Experiment> experiments = new LinkedHashMap<>();
        experiments.put("surge", (seed, disabled) -> runSurge(fast, 0.6, true, seed, disabled));
        experiments.put("surge-guard-only", (seed, disabled) -> runSurge(fast, 0.6, false, seed, disabled));
        experiments.put("surge-critical-90", (seed, disabled) -> runSurge(fast, 0.9, true, seed, disabled));
        experiments.put("surge-courier", (seed, disabled) -> runSurge(courier, 0.6, true, seed, disabled));
        experiments.put("slowdown", (seed, disabled) -> runSlowdown(fast, 0.8, false, 20, seed, disabled));
        experiments.put("slowdown-advised", (seed, disabled) -> runSlowdown(fast, 0.8, true, -1, seed, disabled));
        experiments.put("slowdown-courier", (seed, disabled) -> runSlowdown(courier, 0.8, true, 20, seed, disabled));
        experiments.put("slowdown-wide", (seed, disabled) -> runSlowdown(wide, 0.9, true, 20, seed, disabled));
        experiments.put("fairness", (seed, disabled) -> runFairness(fast, 1, false, seed, disabled));
        experiments.put("fairness-shedding", (seed, disabled) -> runFairness(fast, 1, true, seed, disabled));
        experiments.put("fairness-90", (seed, disabled) -> runFairness(fast, 0.9, true, seed, disabled));
        experiments.put("fairness-courier", (seed, disabled) -> runFairness(courier, 0.9, true, seed, disabled));
        experiments.put("announced", (seed, disabled) -> runConstantLoad(new Upstream(40, 10, 20), 4, seed, disabled));
        experiments.put(
                "announced-calm", (seed, disabled) -> runConstantLoad(new Upstream(40, 10, 20), 0.9, seed, disabled));
        experiments.put(
                "announced-wide", (seed, disabled) -> runConstantLoad(new Upstream(200, 20, 20), 2, seed, disabled));
        experiments.put("true-slots", (seed, disabled) -> runConstantLoad(fast, 1.5, seed, disabled));
        return experiments;
    }

    private static String summarise(String name, int seeds, Set<Mechanism> disabled) {
        Map<String, double[]> valuesByMetric = new TreeMap<>();
        for (int i = 0; i < seeds; i++) {
            int index = i;
            run(name, FIRST_SEED + i, disabled)
                    .forEach((metric, value) ->
                            valuesByMetric.computeIfAbsent(metric, m -> new double[seeds])[index] = value);
        }
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-18s", name));
        valuesByMetric.forEach(
                (metric, values) -> line.append(' ').append(metric).append('=').append(formatRange(values)));
        return line.toString();
    }

    private static String formatRange(double[] values) {
        double sum = 0;
        double minimum = Double.MAX_VALUE;
        double maximum = -Double.MAX_VALUE;
        for (double value : values) {
            sum += value;
            minimum = Math.min(minimum, value);
            maximum = Math.max(maximum, value);
        }
        return String.format(Locale.ROOT, "%.3f [%.3f..%.3f]", sum / values.length, minimum, maximum);
    }

    /**
     * Loads the upstream at its capacity until 10 s, then at ten times its capacity. The load of the critical class is
     * constant. Metrics: goodput before the surge as a share of capacity (calm), goodput during the surge (goodput) and
     * during its first half second (first) as a share of the goodput before it, the share of critical requests served
     * (critical), and the share of wasted executions (wasted).
     *
     * @param criticalShare load of the critical class as a share of capacity
     */
    private static Map<String, Double> runSurge(
            Upstream upstream, double criticalShare, boolean sheddingEnabled, long seed, Set<Mechanism> disabled) {
        double capacity = upstream.capacityPerSecond();
        QueueModel model = upstream.createModel(seed, disabled);
        model.sheddingEnabled = sheddingEnabled;
        model.addSource("a", Importance.CRITICAL, capacity * criticalShare, t -> capacity * criticalShare, 0);
        double surgeRate = capacity * (10 - criticalShare);
        model.addSource(
                "a", Importance.LOW, surgeRate, t -> t < 10_000 ? capacity * (1 - criticalShare) : surgeRate, 1);
        model.runUntil(20_000);
        double goodputBefore = model.goodput(5_000, 10_000);
        Map<String, Double> metrics = new TreeMap<>();
        metrics.put("calm", goodputBefore / capacity);
        metrics.put("goodput", model.goodput(10_000, 20_000) / goodputBefore);
        metrics.put("first", model.goodput(10_000, 10_500) / goodputBefore);
        metrics.put("critical", model.servedShare(10_000, 19_000, r -> r.importance == Importance.CRITICAL));
        metrics.put("wasted", model.wastedShare());
        return metrics;
    }

    /**
     * Increases service times fivefold from 10 s to 30 s while callers retry up to 5 times. Metrics: goodput before
     * (before) and during the slowdown (slow) as a share of capacity at that time, milliseconds from the end of the
     * slowdown until one second reaches 95% of the earlier goodput (recovery-ms), the served share of the requests that
     * arrive in the first second after the slowdown (served-after), and the share of wasted executions (wasted).
     *
     * @param load request rate as a share of capacity before the slowdown
     * @param retryDelayMillis see {@link QueueModel#retryDelayMillis}
     */
    private static Map<String, Double> runSlowdown(
            Upstream upstream,
            double load,
            boolean sheddingEnabled,
            long retryDelayMillis,
            long seed,
            Set<Mechanism> disabled) {
        double capacity = upstream.capacityPerSecond();
        QueueModel model = upstream.createModel(seed, disabled);
        model.sheddingEnabled = sheddingEnabled;
        model.retryDelayMillis = retryDelayMillis;
        model.serviceTimeFactor = t -> t >= 10_000 && t < 30_000 ? 5 : 1;
        model.addSource("a", Importance.NORMAL, capacity * load, t -> capacity * load, 5);
        model.runUntil(42_000);
        double goodputBefore = model.goodput(6_000, 10_000);
        Map<String, Double> metrics = new TreeMap<>();
        metrics.put("before", goodputBefore / capacity);
        metrics.put("slow", model.goodput(12_000, 30_000) * 5 / capacity);
        metrics.put("recovery-ms", model.millisUntilGoodput(goodputBefore * 0.95, 30_000));
        metrics.put("served-after", model.servedShare(30_000, 31_000, r -> true));
        metrics.put("wasted", model.wastedShare());
        return metrics;
    }

    /**
     * Divides capacity equally among eight organisations, one of which sends six times its share. Metrics: the smallest
     * (worst) and the mean share of served requests of the other organisations, and goodput as a share of capacity
     * (utilisation).
     *
     * @param load rate of each of the other organisations as a part of its share of capacity
     */
    private static Map<String, Double> runFairness(
            Upstream upstream, double load, boolean sheddingEnabled, long seed, Set<Mechanism> disabled) {
        double fairRate = upstream.capacityPerSecond() / (FAIR_ORGANISATION_COUNT + 1);
        QueueModel model = upstream.createModel(seed, disabled);
        model.sheddingEnabled = sheddingEnabled;
        model.addSource(
                "greedy", Importance.NORMAL, fairRate * GREEDY_RATE_FACTOR, t -> fairRate * GREEDY_RATE_FACTOR, 0);
        for (int i = 0; i < FAIR_ORGANISATION_COUNT; i++) {
            model.addSource("fair-" + i, Importance.NORMAL, fairRate * load, t -> fairRate * load, 0);
        }
        model.runUntil(30_000);
        double worst = 1;
        double sum = 0;
        for (int i = 0; i < FAIR_ORGANISATION_COUNT; i++) {
            OrganisationId organisation = new OrganisationId("fair-" + i);
            double served = model.servedShare(5_000, 29_000, r -> r.organisation.equals(organisation));
            worst = Math.min(worst, served);
            sum += served;
        }
        Map<String, Double> metrics = new TreeMap<>();
        metrics.put("worst", worst);
        metrics.put("mean", sum / FAIR_ORGANISATION_COUNT);
        metrics.put("utilisation", model.goodput(5_000, 29_000) / upstream.capacityPerSecond());
        return metrics;
    }

    /**
     * Applies a constant load. Metrics: goodput as a share of capacity (goodput), the guard's limit at the end (limit),
     * and the mean latency (latency-ms).
     *
     * @param load request rate as a share of capacity
     */
    private static Map<String, Double> runConstantLoad(
            Upstream upstream, double load, long seed, Set<Mechanism> disabled) {
        double rate = upstream.capacityPerSecond() * load;
        QueueModel model = upstream.createModel(seed, disabled);
        model.addSource("a", Importance.NORMAL, rate, t -> rate, 0);
        model.runUntil(30_000);
        Map<String, Double> metrics = new TreeMap<>();
        metrics.put("goodput", model.goodput(5_000, 30_000) / upstream.capacityPerSecond());
        metrics.put("limit", (double) model.guardReport().limit());
        metrics.put("latency-ms", model.meanLatencyMillis());
        return metrics;
    }
}
