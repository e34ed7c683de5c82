package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.RoutingConfig;

class ConfigStateTest {
    private long steadyMillis = 10_000;
    private long wallMillis = 1_000_000;
    private final ConfigState configState = new ConfigState(() -> steadyMillis, () -> wallMillis);

    @Test
    void ageCountsFromWhenTheReadWasSent() {
        ConfigState.Timestamp sent = configState.now();
        advance(300);
        configState.update(configOfVersion(4), new byte[0], sent);

        assertThat(configState.ageMillis()).isEqualTo(300);
    }

    @Test
    void olderVersionDoesNotReplaceANewerOne() {
        configState.update(configOfVersion(4), new byte[0], configState.now());
        assertThat(configState.update(configOfVersion(3), new byte[0], configState.now()))
                .isFalse();

        assertThat(configState.version()).isEqualTo(4);
    }

    /** Guards against a restored store whose older version makes a node believe that its own is still the newest one. */
    @Test
    void olderVersionDoesNotConfirmANewerOne() {
        configState.update(configOfVersion(4), new byte[0], configState.now());
        advance(2_000);
        configState.update(configOfVersion(3), new byte[0], configState.now());

        assertThat(configState.ageMillis()).isEqualTo(2_000);
    }

    @Test
    void confirmingAnOlderVersionDoesNotReduceTheAge() {
        configState.update(configOfVersion(4), new byte[0], configState.now());
        advance(2_000);
        configState.confirm(3, configState.now());
        assertThat(configState.ageMillis()).isEqualTo(2_000);
        configState.confirm(4, configState.now().minus(50));

        assertThat(configState.ageMillis()).isEqualTo(50);
    }

    @Test
    void ageIncludesTimeTheHostWasSuspended() {
        configState.update(configOfVersion(4), new byte[0], configState.now());
        steadyMillis += 10;
        wallMillis += 6_000;

        assertThat(configState.ageMillis()).isEqualTo(6_000);
    }

    @Test
    void ageIsUnaffectedWhenTheWallClockIsSetBack() {
        configState.update(configOfVersion(4), new byte[0], configState.now());
        steadyMillis += 5_000;
        wallMillis -= 2_000;

        assertThat(configState.ageMillis()).isEqualTo(5_000);
    }

    @Test
    void ageIsMaximalWithoutAConfiguration() {
        assertThat(configState.ageMillis()).isEqualTo(Integer.MAX_VALUE);
    }

    private void advance(long millis) {
        steadyMillis += millis;
        wallMillis += millis;
    }

    private static RoutingConfig configOfVersion(long number) {
        return new RoutingConfig(number, CallerLimits.DEFAULT, List.of(), List.of());
    }
}
