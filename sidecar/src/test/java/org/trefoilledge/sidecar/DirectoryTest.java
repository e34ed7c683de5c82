package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

class DirectoryTest {
    private static final ZoneId ZONE = new ZoneId("a");
    private static final HostId SELF = new HostId("self");
    private static final HostId OTHER = new HostId("other");
    private static final HostId THIRD = new HostId("third");
    private static final String CLAIM = "shard-1-0";

    private final List<String> claimChanges = new ArrayList<>();
    private final Directory directory =
            new Directory(SELF, ZONE, (name, item) -> claimChanges.add(name + (item.isPresent() ? " taken" : " free")));

    /** Guards against a value that a restored store has written at a revision that was used before. */
    @Test
    void otherValueAtTheSameRevisionReplacesTheFirst() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1)), 0);
        Member moved =
                new Member(OTHER, ZONE, "127.0.0.1:99", new Incarnation(2), new ServiceId("tracking"), "i-2", 10, true);
        KeyValueStore.Item item = new KeyValueStore.Item(Directory.NODE_PREFIX + OTHER, moved.toJson(), 1);
        long before = directory.changesSince(0).version();
        directory.applyStoreListing(List.of(item), 0);

        assertThat(directory.others().get(OTHER).peerAddress()).isEqualTo("127.0.0.1:99");
        assertThat(directory.changesSince(before).changes()).hasSize(1);
    }

    /** Guards against claims that cannot be acquired after a restore, because their revisions were forgotten. */
    @Test
    void claimsAreReportedAgainWithTheListingAfterARestore() {
        KeyValueStore.Item claim = new KeyValueStore.Item(Directory.CLAIM_PREFIX + CLAIM, new byte[] {1}, 7);
        directory.applyStoreListing(List.of(claim), 0);
        directory.applyStoreListing(List.of(claim), 0);
        assertThat(claimChanges).containsExactly(CLAIM + " taken");
        directory.onRestore();
        directory.applyStoreListing(List.of(claim), 0);
        directory.applyStoreListing(List.of(claim), 0);

        assertThat(claimChanges).containsExactly(CLAIM + " taken", CLAIM + " taken");
    }

    @Test
    void othersExcludeTheNodeItself() {
        directory.applyStoreListing(List.of(nodeItem(SELF, 1), nodeItem(OTHER, 2)), 0);

        assertThat(directory.others()).containsOnlyKeys(OTHER);
    }

    /** Guards against one entry of another writer that ends the process or stops it from following the others. */
    @ParameterizedTest
    @MethodSource("oddEntries")
    void oddEntryNamesNoNodeAndTheOthersHold(String entry) {
        KeyValueStore.Item odd =
                new KeyValueStore.Item(Directory.NODE_PREFIX + "odd", entry.getBytes(StandardCharsets.UTF_8), 5);
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1), odd, nodeItem(THIRD, 2)), 0);

        assertThat(directory.others()).containsOnlyKeys(OTHER, THIRD);

        directory.applyStoreChanges(List.of(added(odd), removed(Directory.NODE_PREFIX + OTHER)), 1_000);
        directory.removeVanished(10_000, host -> false);

        assertThat(directory.others()).containsOnlyKeys(THIRD);
    }

    static List<String> oddEntries() {
        String valid = new String(member(new HostId("odd")).toJson(), StandardCharsets.UTF_8);
        return List.of(
                "[".repeat(100_000),
                "{\"host\":".repeat(100_000),
                valid.replace("\"slots\":10", "\"slots\":" + "9".repeat(100_000)),
                valid.replace("\"slots\":10", "\"slots\":99999999999999999999"),
                valid.replace("\"slots\":10", "\"slots\":-1"),
                valid.replace("\"slots\":10", "\"slots\":1e400"),
                valid.replace("\"incarnation\":1", "\"incarnation\":99999999999999999999"),
                valid.replace("\"incarnation\":1", "\"incarnation\":-1"),
                valid.replace("\"leavingRun\":0", "\"leavingRun\":99999999999999999999"),
                valid.replace("\"peers\":\"127.0.0.1:1\"", "\"peers\":\"127.0.0.1:70000\""),
                valid.replace("\"peers\":\"127.0.0.1:1\"", "\"peers\":\"somewhere\""),
                valid.replace("\"host\":\"odd\"", "\"host\":\"other\""),
                valid.replace("\"serving\":true", "\"serving\":\"yes\""),
                "");
    }

    @Test
    void entryThatReturnsAfterAStoreOutageIsKept() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1)), 0);
        directory.applyStoreListing(List.of(), 1_000);
        directory.applyStoreListing(List.of(nodeItem(OTHER, 3)), 3_000);

        assertThat(directory.removeVanished(10_000, host -> false)).isFalse();
        assertThat(directory.others()).containsOnlyKeys(OTHER);
    }

    @Test
    void entryThatDoesNotReturnIsRemovedAfterTheDelay() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1)), 0);
        directory.applyStoreChanges(List.of(removed(Directory.NODE_PREFIX + OTHER)), 1_000);
        assertThat(directory.removeVanished(3_400, host -> false)).isFalse();
        assertThat(directory.others()).containsOnlyKeys(OTHER);

        assertThat(directory.removeVanished(3_501, host -> false)).isTrue();
        assertThat(directory.others()).isEmpty();
    }

    @Test
    void nodeThatStillReportsIsKeptWithoutAnEntry() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1)), 0);
        directory.applyStoreListing(List.of(), 1_000);

        assertThat(directory.removeVanished(60_000, host -> true)).isFalse();
        assertThat(directory.others()).containsOnlyKeys(OTHER);
        assertThat(directory.vanishedHosts()).containsExactly(OTHER);
    }

    @Test
    void updateSinceAVersionHoldsOnlyLaterChanges() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1)), 0);
        long knownVersion = directory.changesSince(0).version();
        directory.applyStoreChanges(List.of(added(nodeItem(THIRD, 2))), 0);
        Directory.Update update = directory.changesSince(knownVersion);

        assertThat(update.full()).isFalse();
        assertThat(update.changes())
                .extracting(KeyValueStore.Change::key)
                .containsExactly(Directory.NODE_PREFIX + THIRD);
        assertThat(directory.changesSince(update.version()).changes()).isEmpty();
    }

    @Test
    void vanishedNodeIsReportedAsRemovedOnlyAfterTheDelay() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1)), 0);
        long knownVersion = directory.changesSince(0).version();
        directory.applyStoreChanges(List.of(removed(Directory.NODE_PREFIX + OTHER)), 0);
        assertThat(directory.changesSince(knownVersion).changes()).isEmpty();
        directory.removeVanished(10_000, host -> false);

        assertThat(directory.changesSince(knownVersion).changes())
                .containsExactly(removed(Directory.NODE_PREFIX + OTHER));
    }

    @Test
    void receiverConvergesToTheSendersDirectory() {
        Directory receiver = new Directory(THIRD, ZONE, (name, item) -> {});
        directory.applyStoreListing(List.of(nodeItem(SELF, 1), nodeItem(OTHER, 2), claimItem(3)), 0);
        receiver.applyUpdate(directory.changesSince(0));
        long knownVersion = directory.changesSince(0).version();
        directory.applyStoreChanges(List.of(removed(Directory.NODE_PREFIX + OTHER), added(nodeItem(THIRD, 4))), 0);
        directory.removeVanished(10_000, host -> false);
        receiver.applyUpdate(directory.changesSince(knownVersion));

        assertThat(receiver.others()).containsOnlyKeys(SELF);
        assertThat(directory.others()).containsOnlyKeys(THIRD);
    }

    @Test
    void versionSourceDiffersForNodesStartedAtTheSameTime() {
        Incarnation sameStart = new Incarnation(1_700_000_000_000L);

        assertThat(Directory.versionSource(SELF, sameStart)).isNotEqualTo(Directory.versionSource(OTHER, sameStart));
        assertThat(Directory.versionSource(SELF, sameStart))
                .isNotEqualTo(Directory.versionSource(SELF, new Incarnation(1)));
    }

    @Test
    void fullUpdateReplacesAllEntries() {
        directory.applyStoreListing(List.of(nodeItem(OTHER, 1), claimItem(2)), 0);
        directory.applyUpdate(new Directory.Update(9, true, List.of(added(nodeItem(THIRD, 5)))));

        assertThat(directory.others()).containsOnlyKeys(THIRD);
        assertThat(claimChanges).containsExactly(CLAIM + " taken", CLAIM + " free");
    }

    @Test
    void removedClaimIsReportedImmediately() {
        directory.applyStoreListing(List.of(claimItem(1)), 0);
        directory.applyStoreChanges(List.of(removed(Directory.CLAIM_PREFIX + CLAIM)), 0);

        assertThat(claimChanges).containsExactly(CLAIM + " taken", CLAIM + " free");
    }

    @Test
    void unreadableEntryIsIgnored() {
        KeyValueStore.Item malformed = new KeyValueStore.Item(Directory.NODE_PREFIX + OTHER, new byte[] {'{'}, 1);
        KeyValueStore.Item invalidHost = new KeyValueStore.Item(Directory.NODE_PREFIX + "No Host", new byte[0], 2);
        directory.applyStoreListing(List.of(malformed, invalidHost, nodeItem(THIRD, 3)), 0);

        assertThat(directory.others()).containsOnlyKeys(THIRD);
    }

    private static Member member(HostId host) {
        return new Member(host, ZONE, "127.0.0.1:1", new Incarnation(1), new ServiceId("orders"), "i-1", 10, true);
    }

    private static KeyValueStore.Item nodeItem(HostId host, long revision) {
        Member member = member(host);
        return new KeyValueStore.Item(Directory.NODE_PREFIX + host, member.toJson(), revision);
    }

    private static KeyValueStore.Item claimItem(long revision) {
        return new KeyValueStore.Item(Directory.CLAIM_PREFIX + CLAIM, new byte[] {'{', '}'}, revision);
    }

    private static KeyValueStore.Change added(KeyValueStore.Item item) {
        return new KeyValueStore.Change(item.key(), Optional.of(item));
    }

    private static KeyValueStore.Change removed(String key) {
        return new KeyValueStore.Change(key, Optional.empty());
    }
}
