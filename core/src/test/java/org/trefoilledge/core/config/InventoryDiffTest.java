package org.trefoilledge.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

class InventoryDiffTest {
    private static final KeyDigest KEY_1 = KeyDigest.of("one");
    private static final KeyDigest KEY_2 = KeyDigest.of("two");
    private static final Service ORDERS = new Service(new ServiceId("orders"), 10, 100);
    private static final Inventory BASE = Inventory.EMPTY.with(List.of(
            new Change.SetDeployment("test", List.of(new ZoneId("a"), new ZoneId("b"))),
            new Change.PutService(ORDERS),
            new Change.PutOrganisation(organisation("school", 10, KEY_1)),
            new Change.PutOrganisation(organisation("bakery", 10)),
            new Change.PutRoute(route("submit")),
            new Change.DrainHost(new HostId("h1"))));

    /** Guards against parts of the inventory that the diff does not compare. */
    @Test
    void diffsToAndFromTheEmptyInventoryAreComplete() {
        assertThat(Inventory.EMPTY.with(InventoryDiff.changes(Inventory.EMPTY, BASE)))
                .isEqualTo(BASE);
        assertThat(BASE.with(InventoryDiff.changes(BASE, Inventory.EMPTY))).isEqualTo(Inventory.EMPTY);
    }

    @Test
    void sameInventoryHasNoChanges() {
        assertThat(InventoryDiff.changes(BASE, BASE)).isEmpty();
    }

    /** A withdrawal after the grant would also remove the key from its new organisation. */
    @Test
    void movedKeyIsWithdrawnBeforeItIsGranted() {
        Inventory moved = BASE.with(List.of(
                new Change.PutOrganisation(organisation("school", 10)),
                new Change.PutOrganisation(organisation("bakery", 10, KEY_1))));
        List<Change> changes = InventoryDiff.changes(BASE, moved);
        assertThat(changes)
                .containsExactly(
                        new Change.WithdrawKey(KEY_1), new Change.GrantKey(new OrganisationId("bakery"), KEY_1));
        assertThat(BASE.with(changes)).isEqualTo(moved);
    }

    /** Guards against a withdrawal after the key was put with the new limits of its new organisation. */
    @Test
    void keyMovedToAnOrganisationWithNewLimitsIsKept() {
        Inventory moved = BASE.with(List.of(
                new Change.PutOrganisation(organisation("school", 10)),
                new Change.PutOrganisation(organisation("bakery", 20, KEY_1))));
        assertThat(BASE.with(InventoryDiff.changes(BASE, moved))).isEqualTo(moved);
    }

    /** Guards against replacing the whole organisation, which would undo concurrent grants of other keys. */
    @Test
    void addedKeyIsASingleGrant() {
        Inventory more = BASE.with(List.of(new Change.PutOrganisation(organisation("school", 10, KEY_2, KEY_1))));
        assertThat(InventoryDiff.changes(BASE, more))
                .containsExactly(new Change.GrantKey(new OrganisationId("school"), KEY_2));
    }

    @Test
    void zonesCannotChange() {
        Inventory changed =
                BASE.with(List.of(new Change.SetDeployment("test", List.of(new ZoneId("a"), new ZoneId("c")))));
        assertThat(InventoryDiff.forbiddenChange(BASE, changed)).hasValueSatisfying(reason -> assertThat(reason)
                .startsWith("zones cannot change after the first revision"));
    }

    @Test
    void shardsPerZoneCannotChange() {
        Inventory changed = BASE.with(List.of(new Change.SetRules(new Rules(3, 600_000, 2_000, 8))));
        assertThat(InventoryDiff.forbiddenChange(BASE, changed))
                .hasValueSatisfying(reason -> assertThat(reason).startsWith("shards-per-zone cannot change"));
    }

    @Test
    void firstRevisionSetsZones() {
        assertThat(InventoryDiff.forbiddenChange(Inventory.EMPTY, BASE)).isEmpty();
    }

    private static Organisation organisation(String id, double rate, KeyDigest... keys) {
        return new Organisation(new OrganisationId(id), rate, 100, List.of(keys));
    }

    private static Route route(String id) {
        return new Route(new RouteId(id), "POST", "/" + id, ORDERS.id(), Importance.CRITICAL, false, false, false);
    }
}
