package org.trefoilledge.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays call trees at 0.85 of the capacity, in zones whose upstreams of the called service differ in speed. */
class ZoneSpilloverReplayTest {
    /**
     * Twice as many as the capacities require: each slow zone serves 1.61 of its 1.92 calls per millisecond, so that 0.16
     * of the calls of two of the three zones must leave, which are 0.43 of the four calls of a tree.
     */
    private static final double MAX_CROSSINGS_PER_TREE = 0.86;

    /** Time of four calls in a slow zone. */
    private static final double MAX_MEAN_TREE_MILLIS = 124;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void fewCallsLeaveTheirZoneAndNoneWaitsForLong(long seed) {
        CallTreeReplay.Result result = new CallTreeReplay(seed).run();

        assertThat(result.crossingsPerTree()).isLessThan(MAX_CROSSINGS_PER_TREE);
        assertThat(result.meanTreeMillis()).isLessThan(MAX_MEAN_TREE_MILLIS);
    }
}
