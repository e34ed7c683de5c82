package org.trefoilledge.core.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;

class RoutingConfigTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId TRACKING = new ServiceId("tracking");

    @Test
    void theLongestPrefixOfTheHostWins() {
        RoutingConfig config = config(route("short", "/a/"), route("long", "/a/b/"));

        assertThat(config.route("Shop.example:80", "/a/b/c").orElseThrow().id()).isEqualTo(new RouteId("long"));
        assertThat(config.route("shop.example", "/a/c").orElseThrow().id()).isEqualTo(new RouteId("short"));
    }

    @Test
    void anotherHostOrPathHasNoRoute() {
        RoutingConfig config = config(route("only", "/a/"));

        assertThat(config.route("other.example", "/a/b")).isEmpty();
        assertThat(config.route("shop.example", "/ab")).isEmpty();
        assertThat(config.route("shop.example", "/A/b")).isEmpty();
    }

    @Test
    void aKeyThatTwoOrganisationsShareIsRefused() {
        assertThatThrownBy(() -> new RoutingConfig(
                        1, CallerLimits.DEFAULT, List.of(), List.of(organisation("a"), organisation("b"))))
                .hasMessageContaining("share a key");
    }

    @Test
    void uniformPositionsYieldTheWeightsOfASplit() {
        TrafficSplit split =
                new TrafficSplit(List.of(new TrafficSplit.Part(ORDERS, 90), new TrafficSplit.Part(TRACKING, 10)));
        int orders = 0;
        for (int i = 0; i < 1_000; i++) {
            orders += split.at(i / 1_000.0).equals(ORDERS) ? 1 : 0;
        }

        assertThat(orders / 1_000.0).isCloseTo(0.9, within(0.01));
    }

    @Test
    void aPartWithoutWeightGetsNothing() {
        TrafficSplit split =
                new TrafficSplit(List.of(new TrafficSplit.Part(ORDERS, 0), new TrafficSplit.Part(TRACKING, 1)));

        assertThat(split.at(0)).isEqualTo(TRACKING);
        assertThat(split.at(0.999999999999)).isEqualTo(TRACKING);
    }

    private static OrganisationPolicy organisation(String name) {
        return new OrganisationPolicy(new OrganisationId(name), Set.of("key"), OptionalInt.empty(), 0, 0);
    }

    private static RoutingConfig config(HostRoute... routes) {
        return new RoutingConfig(1, CallerLimits.DEFAULT, List.of(routes), List.of());
    }

    private static HostRoute route(String name, String prefix) {
        return new HostRoute(
                new RouteId(name), "shop.example", prefix, true, 1_000, 100, 0, TrafficSplit.only(ORDERS), 2, false);
    }
}
