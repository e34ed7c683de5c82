package org.trefoilledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.config.Route;

class RouteTableTest {
    private final RouteTable table = new RouteTable(List.of(
            route("orders", "GET", "/orders/*"), route("order", "GET", "/orders/1"), route("post", "POST", "/orders")));

    @Test
    void exactPathGoesBeforeAPrefix() {
        assertThat(table.find("GET", "/orders/1").orElseThrow().id()).isEqualTo(new RouteId("order"));
    }

    @Test
    void longestPrefixMatches() {
        assertThat(table.find("GET", "/orders/2").orElseThrow().id()).isEqualTo(new RouteId("orders"));
    }

    @Test
    void headFallsBackToGet() {
        assertThat(table.find("HEAD", "/orders/2").orElseThrow().id()).isEqualTo(new RouteId("orders"));
    }

    @Test
    void anotherMethodDoesNotMatch() {
        assertThat(table.find("DELETE", "/orders/2")).isEmpty();
    }

    @Test
    void prefixDoesNotMatchASimilarName() {
        assertThat(table.find("GET", "/ordersheet")).isEmpty();
    }

    private static Route route(String id, String method, String path) {
        return new Route(new RouteId(id), method, path, new ServiceId("s"), Importance.NORMAL, true, false, false);
    }
}
