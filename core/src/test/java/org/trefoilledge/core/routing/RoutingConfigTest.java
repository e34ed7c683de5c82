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
    void longestPathPrefixWins() {
        RoutingConfig config = config(route("short", "/a/"), route("long", "/a/b/"));

        assertThat(config.findRoute("Shop.example:80", "/a/b/c").orElseThrow().id())
                .isEqualTo(new RouteId("long"));
        assertThat(config.findRoute("shop.example", "/a/c").orElseThrow().id()).isEqualTo(new RouteId("short"));
    }

    @Test
    void unknownHostOrPathHasNoRoute() {
        RoutingConfig config = config(route("only", "/a/"));

        assertThat(config.findRoute("other.example", "/a/b")).isEmpty();
        assertThat(config.findRoute("shop.example", "/ab")).isEmpty();
        assertThat(config.findRoute("shop.example", "/A/b")).isEmpty();
    }

    @Test
    void rejectsKeySharedByTwoOrganisations() {
        assertThatThrownBy(() -> new RoutingConfig(
                        1, CallerLimits.DEFAULT, List.of(), List.of(organisation("a"), organisation("b"))))
                .hasMessageContaining("share a key");
    }

    @Test
    void uniformPositionsSelectByWeight() {
        TrafficSplit split = new TrafficSplit(
                List.of(new TrafficSplit.Destination(ORDERS, 90), new TrafficSplit.Destination(TRACKING, 10)));
        int orders = 0;
        for (int i = 0; i < 1_000; i++) {
            orders += split.select(i / 1_000.0).equals(ORDERS) ? 1 : 0;
        }

        assertThat(orders / 1_000.0).isCloseTo(0.9, within(0.01));
    }

    @Test
    void destinationWithZeroWeightIsNeverSelected() {
        TrafficSplit split = new TrafficSplit(
                List.of(new TrafficSplit.Destination(ORDERS, 0), new TrafficSplit.Destination(TRACKING, 1)));

        assertThat(split.select(0)).isEqualTo(TRACKING);
        assertThat(split.select(0.999999999999)).isEqualTo(TRACKING);
    }

    private static OrganisationPolicy organisation(String name) {
        return new OrganisationPolicy(new OrganisationId(name), Set.of("key"), OptionalInt.empty(), 0, 0);
    }

    private static RoutingConfig config(HostRoute... routes) {
        return new RoutingConfig(1, CallerLimits.DEFAULT, List.of(routes), List.of());
    }

    private static HostRoute route(String name, String prefix) {
        return new HostRoute(
                new RouteId(name), "shop.example", prefix, true, 1_000, 100, 0, TrafficSplit.single(ORDERS), 2, false);
    }
}
