package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;

/** Guards the targets of section 10 of the design page, with a queue model of one upstream. */
class OverloadTest {
    private static final int SLOTS = 40;
    private static final double SERVICE_MILLIS = 20;
    private static final double CAPACITY = SLOTS * 1000 / SERVICE_MILLIS;

    private static QueueModel model(int workers, long seed) {
        return new QueueModel(GuardSettings.defaults(SLOTS), workers, SERVICE_MILLIS, seed);
    }

    private static void print(String experiment, long seed, Map<String, Double> figures) {
        System.out.println("experiment=" + experiment + " seed=" + seed + " " + figures);
    }

    /** At capacity until 10 s, then ten times that; the critical class alone needs 60% of capacity. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void surgeKeepsGoodputAndServesTheMostImportantClass(long seed) {
        QueueModel model = model(SLOTS, seed);
        model.shedding = true;
        model.source("a", Importance.CRITICAL, CAPACITY * 0.6, t -> CAPACITY * 0.6, 0);
        model.source("a", Importance.LOW, CAPACITY * 9.4, t -> CAPACITY * (t < 10_000 ? 0.4 : 9.4), 1);
        model.run(20_000);
        double calm = model.goodput(5_000, 10_000, r -> true);
        double share = model.goodput(11_000, 20_000, r -> true) / calm;
        double critical = model.served(10_000, 19_000, r -> r.importance == Importance.CRITICAL);
        double wasted = (double) model.wasted / model.executions;
        print("surge", seed, Map.of("goodput-share", share, "critical-served", critical, "wasted", wasted));
        assertThat(share).as("goodput at 10 times capacity").isGreaterThanOrEqualTo(0.9);
        assertThat(critical).as("most important class served").isGreaterThanOrEqualTo(0.99);
        assertThat(wasted).as("wasted executions").isLessThan(0.05);
    }

    /** Guards against metastable overload: retries must not keep the upstream busy after it has healed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void goodputRecoversAfterASlowdownWithHardRetries(long seed) {
        QueueModel model = model(SLOTS, seed);
        model.retryMillis = 20;
        model.slowdown = t -> t >= 10_000 && t < 30_000 ? 5 : 1;
        model.source("a", Importance.NORMAL, CAPACITY * 0.8, t -> CAPACITY * 0.8, 5);
        model.run(40_000);
        double before = model.goodput(5_000, 10_000, r -> true);
        double slow = model.goodput(12_000, 30_000, r -> true);
        double recovery = model.reaches(before * 0.95, 30_000);
        double wasted = (double) model.wasted / model.executions;
        print("slowdown", seed, Map.of("before", before, "slow", slow, "recovery-ms", recovery, "wasted", wasted));
        assertThat(recovery).as("recovery in ms").isLessThan(3_000);
    }

    /** Guards against one organisation taking the share of the others while it sends six times its rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void organisationAboveItsRateTakesNothingFromOthers(long seed) {
        QueueModel model = model(SLOTS, seed);
        double rate = CAPACITY / 8;
        model.source("greedy", Importance.NORMAL, rate * 6, t -> rate * 6, 0);
        for (int i = 0; i < 7; i++) {
            model.source("fair-" + i, Importance.NORMAL, rate, t -> rate, 0);
        }
        model.run(20_000);
        double worst = 1;
        for (int i = 0; i < 7; i++) {
            OrganisationId organisation = new OrganisationId("fair-" + i);
            worst = Math.min(worst, model.served(5_000, 19_000, r -> r.organisation.equals(organisation)));
        }
        double all = model.goodput(5_000, 19_000, r -> true) / CAPACITY;
        print("fairness", seed, Map.of("worst-share", worst, "utilisation", all));
        assertThat(worst).as("worst-served share").isGreaterThanOrEqualTo(0.95);
    }

    /** Guards against trust in the announced slots: this upstream executes only a quarter of them at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void limitFindsTheRealConcurrencyOfAnUpstreamThatAnnouncesTooMuch(long seed) {
        QueueModel model = model(SLOTS / 4, seed);
        model.source("a", Importance.NORMAL, CAPACITY, t -> CAPACITY, 0);
        model.run(20_000);
        double share = model.goodput(5_000, 20_000, r -> true) / (CAPACITY / 4);
        print("announced", seed, Map.of("goodput-share", share, "limit", (double)
                model.report().limit()));
        assertThat(share).as("goodput").isGreaterThanOrEqualTo(0.9);
        assertThat(model.report().limit()).as("limit").isLessThan(SLOTS);
    }
}
