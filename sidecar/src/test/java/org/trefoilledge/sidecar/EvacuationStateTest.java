package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.wire.generated.Evacuation;

class EvacuationStateTest {
    private static final ZoneId NORTH = new ZoneId("north");
    private static final ZoneId SOUTH = new ZoneId("south");

    private long now = 10_000;
    private int changes;
    private final EvacuationState state = new EvacuationState(true, () -> now);

    @BeforeEach
    void countChanges() {
        state.onChange(() -> changes++);
    }

    @Test
    void stateIsUnknownUntilTheFirstRead() {
        assertThat(state.isKnown()).isFalse();
        assertThat(state.message()).isEmpty();
        state.update(List.of(), now);

        assertThat(state.isKnown()).isTrue();
        assertThat(changes).isEqualTo(1);
    }

    @Test
    void newerReadReplacesAnOlderOneWhateverItReturned() {
        state.update(List.of("north"), 10_000);
        state.update(List.of(), 10_001);

        assertThat(state.zones()).isEmpty();
    }

    /** Guards against an answer that arrives late and undoes what a later read has returned. */
    @Test
    void olderReadThatArrivesLaterIsIgnored() {
        state.update(List.of("north"), 10_000);
        state.update(List.of(), 9_999);
        state.receive(message(4_000), 12_000);

        assertThat(state.zones()).containsExactly(NORTH);
        assertThat(changes).isEqualTo(1);
    }

    @Test
    void answerOfANodeThatReadLaterIsApplied() {
        state.update(List.of("north"), 10_000);
        state.receive(message(500, "south"), 12_000);

        assertThat(state.zones()).containsExactly(SOUTH);
        now = 12_000;
        assertThat(state.ageMillis()).isEqualTo(500);
    }

    /** Guards against a report that was delayed on its way and claims to be newer than it is. */
    @Test
    void reportCountsAsOlderThanItSays() {
        state.update(List.of("north"), 10_000);
        now = 10_400;
        state.receiveReport(message(0));

        assertThat(state.zones()).containsExactly(NORTH);
        now = 10_600;
        state.receiveReport(message(0));
        assertThat(state.zones()).isEmpty();
    }

    /** Guards against requests to an evacuated zone after a restore of the store has lost the evacuation. */
    @Test
    void evacuationIsKeptForATimeAfterARestoreOfTheStore() {
        state.update(List.of("north"), now);
        state.onRestore();
        now += 4_999;
        state.update(List.of("south"), now);
        assertThat(state.zones()).containsExactlyInAnyOrder(NORTH, SOUTH);

        now += 1;
        state.update(List.of("south"), now);
        assertThat(state.zones()).containsExactly(SOUTH);
    }

    @Test
    void malformedNamesAreIgnored() {
        state.update(List.of("NORTH", "", "south", "a/b"), now);

        assertThat(state.zones()).containsExactly(SOUTH);
    }

    @Test
    void messageCarriesTheZonesAndTheirAge() {
        state.update(List.of("north"), 9_000);
        Evacuation message = state.message().orElseThrow();

        assertThat(message.getZonesList()).containsExactly("north");
        assertThat(message.getAgeMillis()).isEqualTo(1_000);
    }

    /** Guards against changes in deployments whose operators evacuate no zones. */
    @Test
    void inactiveStateIsKnownAndEmptyWhateverArrives() {
        EvacuationState inactive = new EvacuationState(false, () -> now);
        inactive.receive(message(0, "north"), now);
        inactive.update(List.of("north"), now);

        assertThat(inactive.isKnown()).isTrue();
        assertThat(inactive.zones()).isEmpty();
        assertThat(inactive.message()).isEmpty();
        assertThat(inactive.ageMillis()).isZero();
    }

    @Test
    void planLeavesOutEvacuatedZonesAndNamesEmptiedServices() {
        Candidate northern = candidate("h-1", NORTH, "orders");
        Candidate southern = candidate("h-2", SOUTH, "orders");
        Candidate onlyNorthern = candidate("h-3", NORTH, "stock");
        EvacuationPlan plan = EvacuationPlan.of(List.of(northern, southern, onlyNorthern), Set.of(NORTH));

        assertThat(plan.candidates()).containsExactly(southern);
        assertThat(plan.emptiedServices()).containsExactly(new ServiceId("stock"));
    }

    private static Candidate candidate(String host, ZoneId zone, String service) {
        return new Candidate(new HostId(host), zone, new ServiceId(service), "127.0.0.1:1", new Incarnation(1), 10);
    }

    private static Evacuation message(int ageMillis, String... zones) {
        return Evacuation.newBuilder()
                .addAllZones(List.of(zones))
                .setAgeMillis(ageMillis)
                .build();
    }
}
