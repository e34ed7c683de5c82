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
 * Overload experiments on a {@link QueueModel}. Usage: {@code OverloadExperiments SEEDS [MECHANISM ...]}; prints mean,
 * least and greatest figure over seeds 101, 102, ... with the named mechanisms switched off ({@code ALL}: all of them).
 */
public final class OverloadExperiments {
    private static final long FIRST_SEED = 101;
    private static final double GREEDY_RATE_FACTOR = 6;
    private static final int FAIR_ORGANISATION_COUNT = 7;

    /** The experiments by name; the figures of each are described at its method. */
    private static final Map<String, Experiment> EXPERIMENTS = createExperiments();

    private OverloadExperiments() {}

    private interface Experiment {
        Map<String, Double> run(long seed, Set<Mechanism> off);
    }

    private record Upstream(int slots, int workers, double meanServiceMillis) {
        double capacityPerSecond() {
            return workers * 1000 / meanServiceMillis;
        }

        QueueModel createModel(long seed, Set<Mechanism> off) {
            EnumSet<Mechanism> on = EnumSet.allOf(Mechanism.class);
            on.removeAll(off);
            return new QueueModel(GuardSettings.defaults(slots).withMechanisms(on), workers, meanServiceMillis, seed);
        }
    }

    /** Prints the figures of all experiments. */
    public static void main(String[] args) {
        int seeds = Integer.parseInt(args[0]);
        EnumSet<Mechanism> off = EnumSet.noneOf(Mechanism.class);
        for (int i = 1; i < args.length; i++) {
            off.addAll(args[i].equals("ALL") ? EnumSet.allOf(Mechanism.class) : Set.of(Mechanism.valueOf(args[i])));
        }
        EXPERIMENTS.keySet().forEach(name -> System.out.println(summarise(name, seeds, off)));
    }

    /** Runs one experiment and returns its figures by name. */
    static Map<String, Double> run(String experiment, long seed, Set<Mechanism> off) {
        return EXPERIMENTS.get(experiment).run(seed, off);
    }

    private static Map<String, Experiment> createExperiments() {
        Upstream fast = new Upstream(40, 40, 20);
        Upstream courier = new Upstream(10, 10, 100);
        Upstream wide = new Upstream(90, 90, 50);
        Map<String, Experiment> all = new LinkedHashMap<>();
        all.put("surge", (seed, off) -> runSurge(fast, 0.6, true, seed, off));
        all.put("surge-guard-only", (seed, off) -> runSurge(fast, 0.6, false, seed, off));
        all.put("surge-critical-90", (seed, off) -> runSurge(fast, 0.9, true, seed, off));
        all.put("surge-courier", (seed, off) -> runSurge(courier, 0.6, true, seed, off));
        all.put("slowdown", (seed, off) -> runSlowdown(fast, 0.8, false, 20, seed, off));
        all.put("slowdown-advised", (seed, off) -> runSlowdown(fast, 0.8, true, -1, seed, off));
        all.put("slowdown-courier", (seed, off) -> runSlowdown(courier, 0.8, true, 20, seed, off));
        all.put("slowdown-wide", (seed, off) -> runSlowdown(wide, 0.9, true, 20, seed, off));
        all.put("fairness", (seed, off) -> runFairness(fast, 1, false, seed, off));
        all.put("fairness-shedding", (seed, off) -> runFairness(fast, 1, true, seed, off));
        all.put("fairness-90", (seed, off) -> runFairness(fast, 0.9, true, seed, off));
        all.put("fairness-courier", (seed, off) -> runFairness(courier, 0.9, true, seed, off));
        all.put("announced", (seed, off) -> runConstantLoad(new Upstream(40, 10, 20), 4, seed, off));
        all.put("announced-calm", (seed, off) -> runConstantLoad(new Upstream(40, 10, 20), 0.9, seed, off));
        all.put("announced-wide", (seed, off) -> runConstantLoad(new Upstream(200, 20, 20), 2, seed, off));
        all.put("true-slots", (seed, off) -> runConstantLoad(fast, 1.5, seed, off));
        return all;
    }

    private static String summarise(String name, int seeds, Set<Mechanism> off) {
        Map<String, double[]> figures = new TreeMap<>();
        for (int i = 0; i < seeds; i++) {
            int index = i;
            run(name, FIRST_SEED + i, off)
                    .forEach((figure, value) -> figures.computeIfAbsent(figure, f -> new double[seeds])[index] = value);
        }
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-18s", name));
        figures.forEach(
                (figure, values) -> line.append(' ').append(figure).append('=').append(formatRange(values)));
        return line.toString();
    }

    private static String formatRange(double[] values) {
        double sum = 0;
        double least = Double.MAX_VALUE;
        double greatest = -Double.MAX_VALUE;
        for (double value : values) {
            sum += value;
            least = Math.min(least, value);
            greatest = Math.max(greatest, value);
        }
        return String.format(Locale.ROOT, "%.3f [%.3f..%.3f]", sum / values.length, least, greatest);
    }

    /**
     * At capacity until 10 s, then ten times that; the critical class needs the given part of capacity. Figures:
     * goodput at capacity as a share of capacity (calm) and under the surge as a share of that (goodput, and in the
     * first half second: first), the share of critical requests served, and wasted executions.
     */
    private static Map<String, Double> runSurge(
            Upstream upstream, double critical, boolean shedding, long seed, Set<Mechanism> off) {
        double capacity = upstream.capacityPerSecond();
        QueueModel model = upstream.createModel(seed, off);
        model.sheddingEnabled = shedding;
        model.addSource("a", Importance.CRITICAL, capacity * critical, t -> capacity * critical, 0);
        double surge = capacity * (10 - critical);
        model.addSource("a", Importance.LOW, surge, t -> t < 10_000 ? capacity * (1 - critical) : surge, 1);
        model.runUntil(20_000);
        double calm = model.goodput(5_000, 10_000);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("calm", calm / capacity);
        figures.put("goodput", model.goodput(10_000, 20_000) / calm);
        figures.put("first", model.goodput(10_000, 10_500) / calm);
        figures.put("critical", model.servedShare(10_000, 19_000, r -> r.importance == Importance.CRITICAL));
        figures.put("wasted", model.wastedShare());
        return figures;
    }

    /**
     * Service times grow fivefold from 10 s to 30 s while callers retry up to 5 times. Figures: goodput before and
     * during the slowdown as a share of capacity at that time, milliseconds until one second reaches 95% of the
     * earlier goodput, the share of requests served that arrive in the first second, and wasted executions.
     */
    private static Map<String, Double> runSlowdown(
            Upstream upstream, double load, boolean shedding, long retryMillis, long seed, Set<Mechanism> off) {
        double capacity = upstream.capacityPerSecond();
        QueueModel model = upstream.createModel(seed, off);
        model.sheddingEnabled = shedding;
        model.retryDelayMillis = retryMillis;
        model.serviceTimeFactor = t -> t >= 10_000 && t < 30_000 ? 5 : 1;
        model.addSource("a", Importance.NORMAL, capacity * load, t -> capacity * load, 5);
        model.runUntil(42_000);
        double before = model.goodput(6_000, 10_000);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("before", before / capacity);
        figures.put("slow", model.goodput(12_000, 30_000) * 5 / capacity);
        figures.put("recovery-ms", model.millisUntilGoodput(before * 0.95, 30_000));
        figures.put("served-after", model.servedShare(30_000, 31_000, r -> true));
        figures.put("wasted", model.wastedShare());
        return figures;
    }

    /**
     * One of eight organisations sends six times its rate, the others a part of theirs; the rates add up to capacity.
     * Figures: the share of requests served for the worst of the others and in the mean, and utilisation.
     */
    private static Map<String, Double> runFairness(
            Upstream upstream, double load, boolean shedding, long seed, Set<Mechanism> off) {
        double rate = upstream.capacityPerSecond() / (FAIR_ORGANISATION_COUNT + 1);
        QueueModel model = upstream.createModel(seed, off);
        model.sheddingEnabled = shedding;
        model.addSource("greedy", Importance.NORMAL, rate * GREEDY_RATE_FACTOR, t -> rate * GREEDY_RATE_FACTOR, 0);
        for (int i = 0; i < FAIR_ORGANISATION_COUNT; i++) {
            model.addSource("fair-" + i, Importance.NORMAL, rate * load, t -> rate * load, 0);
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
        Map<String, Double> figures = new TreeMap<>();
        figures.put("worst", worst);
        figures.put("mean", sum / FAIR_ORGANISATION_COUNT);
        figures.put("utilisation", model.goodput(5_000, 29_000) / upstream.capacityPerSecond());
        return figures;
    }

    /** Constant load. Figures: goodput as a share of capacity, the limit at the end, mean latency in milliseconds. */
    private static Map<String, Double> runConstantLoad(Upstream upstream, double load, long seed, Set<Mechanism> off) {
        double rate = upstream.capacityPerSecond() * load;
        QueueModel model = upstream.createModel(seed, off);
        model.addSource("a", Importance.NORMAL, rate, t -> rate, 0);
        model.runUntil(30_000);
        Map<String, Double> figures = new TreeMap<>();
        figures.put("goodput", model.goodput(5_000, 30_000) / upstream.capacityPerSecond());
        figures.put("limit", (double) model.guardReport().limit());
        figures.put("latency-ms", model.meanLatencyMillis());
        return figures;
    }
}
