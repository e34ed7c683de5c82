package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.core.routing.TrafficSplit;
import org.trefoilledge.wire.generated.CallAnswer;

class RequestFiltersTest {
    private static final long MAX_KEY_AGE_MILLIS = 4_600;

    private long now = 50_000;
    private final ConfigState knowledge = new ConfigState(() -> now, () -> now);
    private final List<RequestFilter> filters =
            RequestFilters.all(knowledge, TestHeaders.HEADERS, MAX_KEY_AGE_MILLIS, Optional::empty);

    @Test
    void refusesAsNotReadyWithoutConfiguration() {
        assertThat(check("/shop/1", "k1")).contains(ErrorKind.NOT_READY);
    }

    @Test
    void refusesUnknownRoute() {
        configure("k1");

        assertThat(check("/other/1", "k1")).contains(ErrorKind.UNKNOWN_ROUTE);
    }

    @Test
    void acceptsKnownKeyAndRefusesUnknownOrMissingKey() {
        configure("k1");

        assertThat(check("/shop/1", "k1")).isEmpty();
        assertThat(check("/shop/1", "k2")).contains(ErrorKind.KEY_UNKNOWN);
        assertThat(check("/shop/1", "")).contains(ErrorKind.KEY_MISSING);
    }

    @Test
    void openRouteNeedsNoKey() {
        configure("k1");

        assertThat(check("/open/1", "")).isEmpty();
    }

    @Test
    void refusesKeysWhenConfigurationIsTooOld() {
        configure("k1");
        now += MAX_KEY_AGE_MILLIS;
        assertThat(check("/shop/1", "k1")).isEmpty();
        now += 1;

        assertThat(check("/shop/1", "k1")).contains(ErrorKind.KEY_UNVERIFIABLE);
        assertThat(check("/open/1", "")).isEmpty();
    }

    private void configure(String key) {
        OrganisationPolicy bakery =
                new OrganisationPolicy(new OrganisationId("bakery"), Set.of(key), OptionalInt.empty(), 0, 0);
        RoutingConfig config = new RoutingConfig(
                1, CallerLimits.DEFAULT, List.of(route("/shop/", false), route("/open/", true)), List.of(bakery));
        knowledge.update(config, new byte[0], knowledge.now());
    }

    private static HostRoute route(String prefix, boolean open) {
        return new HostRoute(
                new RouteId("r-" + prefix.replace("/", "")),
                "a.example",
                prefix,
                true,
                1_000,
                100,
                0,
                TrafficSplit.single(new ServiceId("orders")),
                1,
                open);
    }

    private Optional<ErrorKind> check(String path, String key) {
        HttpHeaders headers = new DefaultHttpHeaders().add("Host", "a.example");
        if (!key.isEmpty()) {
            headers.add(TestHeaders.HEADERS.key(), key);
        }
        RequestContext context = new RequestContext(new CallerRequest("GET", path, headers, new byte[0], now), "r1");
        for (RequestFilter filter : filters) {
            Optional<CallAnswer> refusal = filter.check(context);
            if (refusal.isPresent()) {
                return Optional.of(ErrorKind.valueOf(refusal.get().getRefusal()));
            }
        }
        return Optional.empty();
    }
}
