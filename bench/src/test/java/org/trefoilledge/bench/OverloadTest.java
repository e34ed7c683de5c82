package org.trefoilledge.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the overload targets of the design, section 10, on a queue model of one upstream. */
class OverloadTest {
    private static Map<String, Double> run(String experiment, long seed) {
        Map<String, Double> metrics = OverloadExperiments.run(experiment, seed, Set.of());
        System.out.println("experiment=" + experiment + " seed=" + seed + " " + metrics);
        return metrics;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void surgeKeepsGoodputAndServesTheMostImportantClass(long seed) {
        Map<String, Double> metrics = run("surge", seed);
        assertThat(metrics.get("goodput")).as("goodput at 10 times capacity").isGreaterThanOrEqualTo(0.9);
        assertThat(metrics.get("critical")).as("most important class served").isGreaterThanOrEqualTo(0.99);
        assertThat(metrics.get("wasted")).as("wasted executions").isLessThan(0.05);
    }

    /** Guards against metastable overload, in which retries keep the upstream overloaded after it has recovered. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void goodputRecoversAfterASlowdownWithAggressiveRetries(long seed) {
        Map<String, Double> metrics = run("slowdown", seed);
        assertThat(metrics.get("recovery-ms")).as("recovery in ms").isLessThan(3_000);
        assertThat(metrics.get("wasted")).as("wasted executions").isLessThan(0.05);
    }

    /** Guards against starvation of the other organisations by one that sends six times its rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void organisationAboveItsRateDoesNotStarveOthers(long seed) {
        assertThat(run("fairness", seed).get("worst")).as("worst-served share").isGreaterThanOrEqualTo(0.95);
    }

    /** Guards against a limit that trusts the announced slots: the upstream executes only a quarter of them at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void limitFallsBelowTheOverstatedSlotsOfAnUpstream(long seed) {
        Map<String, Double> metrics = run("announced", seed);
        assertThat(metrics.get("goodput")).as("goodput").isGreaterThanOrEqualTo(0.9);
        assertThat(metrics.get("limit")).as("limit").isLessThan(40);
    }
}
