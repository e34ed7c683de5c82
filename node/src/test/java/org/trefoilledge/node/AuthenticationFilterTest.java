package org.trefoilledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.Inventory;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.Organisation;
import org.trefoilledge.core.config.Route;

/** Guards against a request that runs for an organisation whose key did not come with it. */
class AuthenticationFilterTest {
    private static final OrganisationId SCHOOL = new OrganisationId("school");
    private static final KeyDigest KEY = KeyDigest.of("secret-key");

    private final Snapshot granted = new Snapshot(
            1, Inventory.EMPTY.with(List.of(new Change.PutOrganisation(new Organisation(SCHOOL, 1, 1, List.of(KEY))))));
    private final AtomicReference<Snapshot> current = new AtomicReference<>(granted);

    @Test
    void keyBindsTheRequestToItsOrganisation() {
        Exchange exchange = exchange("Bearer secret-key");
        apply(exchange, false);
        assertThat(exchange.organisation()).isEqualTo(SCHOOL);
    }

    @Test
    void unknownKeyIsRefused() {
        assertThat(apply(exchange("Bearer other"), false)).isEqualTo(ErrorKind.KEY_UNKNOWN);
    }

    @Test
    void missingKeyIsRefused() {
        assertThat(apply(exchange(), false)).isEqualTo(ErrorKind.KEY_MISSING);
    }

    @Test
    void repeatedHeaderIsRefused() {
        assertThat(apply(exchange("Bearer secret-key", "Bearer secret-key"), false))
                .isEqualTo(ErrorKind.BAD_REQUEST);
    }

    @Test
    void anotherSchemeIsRefused() {
        assertThat(apply(exchange("Basic secret-key"), false)).isEqualTo(ErrorKind.KEY_MISSING);
    }

    @Test
    void isolatedNodeRefusesKeys() {
        assertThat(apply(exchange("Bearer secret-key"), true)).isEqualTo(ErrorKind.KEY_UNVERIFIABLE);
    }

    @Test
    void keyWithdrawnWhileTheRequestWaitedIsNoticed() {
        Exchange exchange = exchange("Bearer secret-key");
        AuthenticationFilter filter = new AuthenticationFilter(current::get, () -> false);
        var unused = filter.apply(exchange, e -> new CompletableFuture<>());
        current.set(new Snapshot(2, granted.inventory().with(List.of(new Change.WithdrawKey(KEY)))));
        assertThat(filter.stillGranted(exchange)).isFalse();
    }

    private ErrorKind apply(Exchange exchange, boolean isolated) {
        CompletableFuture<Answer> answer =
                new AuthenticationFilter(current::get, () -> isolated).apply(exchange, e -> new CompletableFuture<>());
        return answer.isDone() ? answer.join().refusal().orElseThrow().kind() : null;
    }

    private Exchange exchange(String... authorization) {
        List<Answer.Header> headers = java.util.Arrays.stream(authorization)
                .map(value -> new Answer.Header("authorization", value))
                .toList();
        Exchange exchange = new Exchange("GET", "/a", headers, new byte[0], Optional.empty(), 0);
        exchange.snapshot(granted);
        exchange.route(
                new Route(new RouteId("r"), "GET", "/a", new ServiceId("s"), Importance.NORMAL, true, false, false));
        return exchange;
    }
}
