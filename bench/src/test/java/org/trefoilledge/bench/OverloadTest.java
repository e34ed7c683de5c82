package org.trefoilledge.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the targets of section 10 of the design page, with a queue model of one upstream. */
class OverloadTest {
    private static Map<String, Double> run(String experiment, long seed) {
        Map<String, Double> figures = OverloadExperiments.run(experiment, seed, Set.of());
        System.out.println("experiment=" + experiment + " seed=" + seed + " " + figures);
        return figures;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void surgeKeepsGoodputAndServesTheMostImportantClass(long seed) {
        Map<String, Double> figures = run("surge", seed);
        assertThat(figures.get("goodput")).as("goodput at 10 times capacity").isGreaterThanOrEqualTo(0.9);
        assertThat(figures.get("critical")).as("most important class served").isGreaterThanOrEqualTo(0.99);
        assertThat(figures.get("wasted")).as("wasted executions").isLessThan(0.05);
    }

    /** Guards against metastable overload: retries must not keep the upstream busy after it has healed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void goodputRecoversAfterASlowdownWithAggressiveRetries(long seed) {
        Map<String, Double> figures = run("slowdown", seed);
        assertThat(figures.get("recovery-ms")).as("recovery in ms").isLessThan(3_000);
        assertThat(figures.get("wasted")).as("wasted executions").isLessThan(0.05);
    }

    /** Guards against one organisation taking the share of the others while it sends six times its rate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void organisationAboveItsRateDoesNotStarveOthers(long seed) {
        assertThat(run("fairness", seed).get("worst")).as("worst-served share").isGreaterThanOrEqualTo(0.95);
    }

    /** Guards against trust in the announced slots: this upstream executes only a quarter of them at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void limitFallsBelowTheOverstatedSlotsOfAnUpstream(long seed) {
        Map<String, Double> figures = run("announced", seed);
        assertThat(figures.get("goodput")).as("goodput").isGreaterThanOrEqualTo(0.9);
        assertThat(figures.get("limit")).as("limit").isLessThan(40);
    }
}
