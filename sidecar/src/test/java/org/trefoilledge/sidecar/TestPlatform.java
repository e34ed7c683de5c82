package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.core.routing.ServicePolicy;
import org.trefoilledge.core.routing.TrafficSplit;

/**
 * Configurations have the format "version key" or "version key cold-per-second", announcements "id service slots
 * sequence state start cold-millis".
 */
final class TestPlatform implements Platform {
    static final String CONFIG_KEY = "operator/config";
    static final String OPERATOR_PREFIX = "operator/";
    static final String EVACUATION_PREFIX = "operator/evacuated/";

    private final MemoryStore store;

    TestPlatform(MemoryStore store) {
        this.store = store;
    }

    @Override
    public HeaderNames headers() {
        return TestHeaders.HEADERS;
    }

    @Override
    public KeyValueStore openStore(InetSocketAddress address, EventLoop control) {
        return store.client(control);
    }

    @Override
    public Set<Feature> features(List<String> terms) {
        return Set.of();
    }

    @Override
    public String configKey() {
        return CONFIG_KEY;
    }

    @Override
    public String operatorPrefix() {
        return OPERATOR_PREFIX;
    }

    @Override
    public String evacuationPrefix() {
        return EVACUATION_PREFIX;
    }

    @Override
    public RoutingConfig readConfig(byte[] document) {
        List<String> parts = splitWords(document);
        OrganisationPolicy bakery =
                new OrganisationPolicy(new OrganisationId("bakery"), Set.of(parts.get(1)), OptionalInt.empty(), 0, 0);
        return new RoutingConfig(
                Long.parseLong(parts.get(0)),
                CallerLimits.DEFAULT,
                List.of(route("orders", TestFleet.ORDERS), route("tracking", TestFleet.TRACKING)),
                List.of(bakery),
                parts.size() < 3
                        ? List.of()
                        : List.of(new ServicePolicy(TestFleet.TRACKING, 5_000, Double.parseDouble(parts.get(2)), "")));
    }

    @Override
    public Announcement readAnnouncement(String method, String path, byte[] body) {
        if (method.equals("DELETE")) {
            return new Announcement.Deregistration(path.substring(1));
        }
        List<String> parts = splitWords(body);
        return new Announcement.Heartbeat(
                parts.get(0),
                new ServiceId(parts.get(1)),
                Integer.parseInt(parts.get(2)),
                parts.get(4).equals("draining"),
                Long.parseLong(parts.get(3)),
                Long.parseLong(parts.get(5)),
                OptionalLong.of(Long.parseLong(parts.get(6))));
    }

    private static List<String> splitWords(byte[] bytes) {
        return Arrays.asList(new String(bytes, StandardCharsets.UTF_8).split(" ", -1));
    }

    private static HostRoute route(String name, ServiceId service) {
        return new HostRoute(
                new RouteId(name),
                "127.0.0.1",
                "/" + name + "/",
                true,
                2_000,
                500,
                0,
                TrafficSplit.single(service),
                2,
                false);
    }
}
