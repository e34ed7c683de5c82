package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.admission.AdmissionGate;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.core.placement.PlacementSettings;
import org.trefoilledge.core.placement.Placer;
import org.trefoilledge.core.rate.TokenGrant;
import org.trefoilledge.core.routing.CallerLimits;
import org.trefoilledge.core.routing.HostRoute;
import org.trefoilledge.core.routing.OrganisationPolicy;
import org.trefoilledge.core.routing.RoutingConfig;
import org.trefoilledge.core.routing.TrafficSplit;

class RequestExplainerTest {
    private static final OrganisationId BAKERY = new OrganisationId("bakery");
    private static final ServiceId STOCK = new ServiceId("stock");
    private static final RouteId ROUTE = new RouteId("shop");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final HostId SELF = new HostId("self");
    private static final String KEY = "secret-key-1";
    private static final RequestClass CLASS = new RequestClass(ROUTE, 4);

    private final ConfigState config = new ConfigState(() -> 0, () -> 0);
    private final AdmissionGate admission = new AdmissionGate();
    private final Placer placer = new Placer(SELF, ZONE, PlacementSettings.defaults(SELF));
    private final List<CompletableFuture<Optional<TokenGrant>>> tokenRequests = new ArrayList<>();
    private final RateLimits limits = new RateLimits(() -> 0, 250, (organisation, needed, ahead) -> {
        tokenRequests.add(new CompletableFuture<>());
        return tokenRequests.get(tokenRequests.size() - 1);
    });
    private final RequestExplainer explainer = new RequestExplainer(
            RequestFilters.all(config, TestHeaders.HEADERS, 1_000, Optional::empty),
            config,
            TestHeaders.HEADERS,
            admission,
            limits,
            service -> placer.explain(service, host -> false, host -> false, 0),
            () -> 0);

    @BeforeEach
    void configure() {
        OrganisationPolicy bakery = new OrganisationPolicy(BAKERY, Set.of(KEY), OptionalInt.of(1), 100, 10);
        HostRoute route =
                new HostRoute(ROUTE, "shop.test", "/shop/", true, 2_000, 500, 0, TrafficSplit.single(STOCK), 2, false);
        RoutingConfig first = new RoutingConfig(3, CallerLimits.DEFAULT, List.of(route), List.of(bakery));
        config.update(first, new byte[0], config.now());
        placer.updateCandidates(List.of(candidate("n1"), candidate("n2")));
    }

    private static Candidate candidate(String host) {
        return new Candidate(new HostId(host), ZONE, STOCK, "127.0.0.1:1", new Incarnation(1), 10);
    }

    private Explanation explain() throws RequestExplainer.UnknownRequestException {
        return explain("shop.test", "/shop/1", KEY);
    }

    private Explanation explain(String host, String path, String key) throws RequestExplainer.UnknownRequestException {
        return explainer.explain(new RequestExplainer.Query("GET", host, path, key));
    }

    /** Gives this node one token, by way of two requests of which the second one is not sent. */
    private void holdOneToken() {
        List<RateLimits.Decision> decisions = new ArrayList<>();
        limits.acquire(BAKERY, decisions::add);
        tokenRequests.get(0).complete(Optional.of(new TokenGrant(1, 0)));
        limits.returnToken(BAKERY, decisions.get(0).token().orElseThrow());
    }

    @Test
    void acceptedRequestShowsRouteOrganisationRankAndChoice() throws Exception {
        holdOneToken();
        Explanation explanation = explain();

        assertThat(explanation.refusal()).isEmpty();
        assertThat(explanation.waitsForToken()).isFalse();
        assertThat(explanation.route()).isEqualTo("shop");
        assertThat(explanation.organisation()).isEqualTo("bakery");
        assertThat(explanation.rank()).isEqualTo(4);
        assertThat(explanation.tokens().orElseThrow().tokens()).isEqualTo(1);
        assertThat(ExplanationFormat.toText(explanation)).startsWith("sent to one of the 2 upstreams marked +\n");
        assertThat(ExplanationFormat.toJson(explanation)
                        .at("/destinations/0/candidates/1/eligible")
                        .asBoolean())
                .isTrue();
    }

    @Test
    void refusedClassNamesThePlan() throws Exception {
        admission.plan(new AdmissionPlan(Map.of(CLASS, 0.0)));

        assertThat(explain().refusal()).contains(new Explanation.Refusal("OVERLOADED", "the plan"));
        assertThat(ExplanationFormat.toText(explain())).contains("admits 0.0 % of the class, refuses the next request");
    }

    @Test
    void unknownKeyHostOrPathIsAnErrorWithoutTheKey() {
        assertThatThrownBy(() -> explain("shop.test", "/shop/1", "other-key"))
                .isInstanceOf(RequestExplainer.UnknownRequestException.class)
                .hasMessage("version 3 of the configuration has no such key");
        assertThatThrownBy(() -> explain("shop.test", "/shop/1", "")).hasMessageContaining("needs a key");
        assertThatThrownBy(() -> explain("other.test", "/shop/1", KEY))
                .hasMessageEndingWith("has no route of the host other.test");
        assertThatThrownBy(() -> explain("shop.test", "/other/1", KEY))
                .hasMessageEndingWith("has no route of host shop.test for the path /other/1");
    }

    @Test
    void ejectedUpstreamIsShownWithItsReason() throws Exception {
        placer.recordEnd(new HostId("n1"), Optional.empty(), false, 0);
        placer.recordEnd(new HostId("n1"), Optional.empty(), false, 0);

        assertThat(ExplanationFormat.toText(explain()))
                .contains("+ n2")
                .contains("- n1")
                .contains("ejected for 1000 ms\n      passed over: it is ejected after unreachable calls");
    }

    @Test
    void requestWithoutAnyUpstreamIsRefused() throws Exception {
        placer.updateCandidates(List.of());

        assertThat(explain().refusal().orElseThrow().kind()).isEqualTo("NO_UPSTREAM");
        assertThat(ExplanationFormat.toText(explain())).contains("no upstream is known");
    }

    @Test
    void refusalByTheOwnerOfTheLimitIsShown() throws Exception {
        limits.acquire(BAKERY, decision -> {});
        tokenRequests.get(0).complete(Optional.of(new TokenGrant(0, 200)));

        assertThat(explain().refusal().orElseThrow().kind()).isEqualTo("RATE_LIMITED");
    }

    @Test
    void explanationContainsNoKey() throws Exception {
        String output = ExplanationFormat.toText(explain()) + ExplanationFormat.toJson(explain()) + explain();

        assertThat(output).doesNotContain(KEY);
        assertThat(new RequestExplainer.Query("GET", "shop.test", "/shop/1", KEY).toString())
                .doesNotContain(KEY);
    }

    /** Guards against explanations that take admissions or tokens from callers. */
    @Test
    void explainingTakesNoAdmissionAndNoToken() throws Exception {
        holdOneToken();
        admission.plan(new AdmissionPlan(Map.of(CLASS, 0.4)));
        AdmissionGate reference = new AdmissionGate();
        reference.plan(new AdmissionPlan(Map.of(CLASS, 0.4)));
        for (int request = 0; request < 20; request++) {
            Explanation first = explain();
            for (int i = 0; i < 5; i++) {
                assertThat(explain()).isEqualTo(first);
            }
            boolean admitted = admission.admit(CLASS);
            assertThat(admitted).isEqualTo(reference.admit(CLASS));
            assertThat(first.plan().orElseThrow().nextAdmitted()).isEqualTo(admitted);
        }

        assertThat(tokenRequests).hasSize(1);
        assertThat(limits.view(BAKERY).tokens()).isEqualTo(1);
    }

    @Test
    void explainingAnOrganisationWithoutRequestsAsksNoOwner() throws Exception {
        assertThat(explain().waitsForToken()).isTrue();
        assertThat(tokenRequests).isEmpty();
    }
}
