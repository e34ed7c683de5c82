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

class EntryFiltersTest {
    private static final long KEY_AGE_MILLIS = 4_600;

    private long now = 50_000;
    private final Knowledge knowledge = new Knowledge(() -> now, () -> now);
    private final List<EntryFilter> filters = EntryFilters.all(knowledge, TestNames.NAMES, KEY_AGE_MILLIS);

    @Test
    void withoutAConfigurationACallerIsAskedToComeBack() {
        assertThat(refusal("/shop/1", "k1")).contains(ErrorKind.NOT_READY);
    }

    @Test
    void anUnknownRouteIsRefused() {
        configure("k1");

        assertThat(refusal("/other/1", "k1")).contains(ErrorKind.UNKNOWN_ROUTE);
    }

    @Test
    void aKnownKeyPassesAndAnUnknownOneDoesNot() {
        configure("k1");

        assertThat(refusal("/shop/1", "k1")).isEmpty();
        assertThat(refusal("/shop/1", "k2")).contains(ErrorKind.KEY_UNKNOWN);
        assertThat(refusal("/shop/1", "")).contains(ErrorKind.KEY_MISSING);
    }

    @Test
    void anOpenRouteNeedsNoKey() {
        configure("k1");

        assertThat(refusal("/open/1", "")).isEmpty();
    }

    @Test
    void aKeyIsNotTrustedWhenTheConfigurationMayBeOlderThanThePromise() {
        configure("k1");
        now += KEY_AGE_MILLIS;
        assertThat(refusal("/shop/1", "k1")).isEmpty();
        now += 1;

        assertThat(refusal("/shop/1", "k1")).contains(ErrorKind.KEY_UNVERIFIABLE);
        assertThat(refusal("/open/1", "")).isEmpty();
    }

    private void configure(String key) {
        OrganisationPolicy bakery =
                new OrganisationPolicy(new OrganisationId("bakery"), Set.of(key), OptionalInt.empty(), 0, 0);
        RoutingConfig config = new RoutingConfig(
                1, CallerLimits.DEFAULT, List.of(route("/shop/", false), route("/open/", true)), List.of(bakery));
        knowledge.learn(config, new byte[0], knowledge.now());
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
                TrafficSplit.only(new ServiceId("orders")),
                1,
                open);
    }

    private Optional<ErrorKind> refusal(String path, String key) {
        HttpHeaders headers = new DefaultHttpHeaders().add("Host", "a.example");
        if (!key.isEmpty()) {
            headers.add(TestNames.NAMES.key(), key);
        }
        Entry entry = new Entry(new CallerRequest("GET", path, headers, new byte[0], now), "r1");
        for (EntryFilter filter : filters) {
            Optional<CallAnswer> refused = filter.refuse(entry);
            if (refused.isPresent()) {
                return Optional.of(ErrorKind.valueOf(refused.get().getRefusal()));
            }
        }
        return Optional.empty();
    }
}
