package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;

class SheddingTest {
    private static final RouteId ORDERS = new RouteId("orders");
    private static final RouteId PROOFS = new RouteId("proofs");

    private final SheddingTable table = new SheddingTable();
    private final AdmissionLevel level = new AdmissionLevel();

    private void observe(int value, int times, long now) {
        for (int i = 0; i < times; i++) {
            table.observe(ORDERS, value, now);
        }
    }

    /** Offers calls of all classes in windows of 50 ms; in each window, calls over the capacity are refused. */
    private void offerCalls(int windows, int arrivals, int capacity) {
        SplittableRandom random = new SplittableRandom(1);
        for (int window = 0; window <= windows; window++) {
            int admitted = 0;
            for (int i = 0; i < arrivals; i++) {
                int rank = random.nextInt(AdmissionLevel.RANKS);
                level.countArrived(rank);
                if (rank < level.value()) {
                    continue;
                }
                if (admitted++ < capacity) {
                    level.countStarted();
                } else {
                    level.countRefused(rank);
                }
            }
            level.update(window * 50L);
        }
    }

    @Test
    void importanceTakesPrecedenceOverTheHash() {
        assertThat(AdmissionLevel.rank(Importance.HIGH, 0)).isGreaterThan(AdmissionLevel.rank(Importance.NORMAL, -1));
    }

    @Test
    void negativeHashHasAValidRank() {
        assertThat(AdmissionLevel.rank(Importance.LOW, -1)).isBetween(0, 1023);
    }

    @Test
    void levelShedsOnlyTheClassesAboveCapacity() {
        offerCalls(5, 400, 100);
        assertThat(level.value()).isBetween(2 * 1024, 3 * 1024);
    }

    @Test
    void levelAdmitsTheMostImportantClassWithinCapacity() {
        offerCalls(100, 400, 150);
        assertThat(level.value()).isLessThan(AdmissionLevel.rank(Importance.CRITICAL, 0));
    }

    @Test
    void levelDecaysToZeroWithinTwoSecondsWithAnEmptyQueue() {
        offerCalls(5, 400, 100);
        for (long now = 300; now <= 2_300; now += 10) {
            level.update(now);
        }
        assertThat(level.value()).isZero();
    }

    @Test
    void levelDoesNotDecayWhileCallsAreQueued() {
        offerCalls(5, 400, 100);
        int before = level.value();
        level.countQueued();
        level.update(1_000);
        assertThat(level.value()).isEqualTo(before);
    }

    @Test
    void levelOfOneOrganisationDoesNotAffectAnother() {
        OrganisationId other = new OrganisationId("other");
        observe(2_000, 50, 0);
        assertThat(table.admits(ORDERS, other, Importance.LOW, 0, 0)).isTrue();
    }

    @Test
    void unknownRouteAdmitsEverything() {
        assertThat(table.admits(ORDERS, Importance.LOW, 0, 0)).isTrue();
    }

    @Test
    void callBelowTheObservedLevelIsShed() {
        observe(2_000, 50, 0);
        assertThat(table.admits(ORDERS, Importance.LOW, 5, 0)).isFalse();
    }

    @Test
    void callAboveTheObservedLevelIsAdmitted() {
        observe(2_000, 50, 0);
        assertThat(table.admits(ORDERS, Importance.HIGH, 5, 0)).isTrue();
    }

    @Test
    void levelOfOneRouteDoesNotAffectAnother() {
        observe(2_000, 50, 0);
        assertThat(table.admits(PROOFS, Importance.LOW, 0, 0)).isTrue();
    }

    @Test
    void unconfirmedLevelDecaysToZeroWithinTwoSeconds() {
        observe(AdmissionLevel.RANKS, 50, 0);
        assertThat(table.admits(ORDERS, Importance.LOW, 0, 2_000)).isTrue();
    }

    @Test
    void responsesWithLevelZeroLowerTheLevel() {
        observe(2_000, 50, 0);
        observe(0, 200, 0);
        assertThat(table.admits(ORDERS, Importance.LOW, 8, 0)).isTrue();
    }

    @Test
    void retryAfterGrowsWithTheLevel() {
        observe(AdmissionLevel.RANKS, 50, 0);
        assertThat(table.retryAfterMillis(ORDERS, 0, new SplittableRandom(1))).isBetween(480L, 1_500L);
    }
}
