package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
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

    private final List<String> claims = new ArrayList<>();
    private final Directory directory =
            new Directory(SELF, ZONE, (name, item) -> claims.add(name + (item.isPresent() ? " taken" : " free")));

    @Test
    void theNodeItselfIsNotAmongTheOthers() {
        directory.listed(List.of(node(SELF, 1), node(OTHER, 2)), 0);

        assertThat(directory.others()).containsOnlyKeys(OTHER);
    }

    @Test
    void anEntryThatLapsedWhileTheStoreWasAwayAndComesBackIsKept() {
        directory.listed(List.of(node(OTHER, 1)), 0);
        directory.listed(List.of(), 1_000);
        directory.listed(List.of(node(OTHER, 3)), 3_000);

        assertThat(directory.forgetVanished(10_000, host -> false)).isFalse();
        assertThat(directory.others()).containsOnlyKeys(OTHER);
    }

    @Test
    void anEntryThatStaysAwayIsForgotten() {
        directory.listed(List.of(node(OTHER, 1)), 0);
        directory.changed(List.of(removed(Directory.NODES + OTHER)), 1_000);
        assertThat(directory.forgetVanished(3_400, host -> false)).isFalse();
        assertThat(directory.others()).containsOnlyKeys(OTHER);

        assertThat(directory.forgetVanished(3_501, host -> false)).isTrue();
        assertThat(directory.others()).isEmpty();
    }

    @Test
    void aNodeThatIsHeardIsKeptWithoutAnEntry() {
        directory.listed(List.of(node(OTHER, 1)), 0);
        directory.listed(List.of(), 1_000);

        assertThat(directory.forgetVanished(60_000, host -> true)).isFalse();
        assertThat(directory.others()).containsOnlyKeys(OTHER);
        assertThat(directory.vanished()).containsExactly(OTHER);
    }

    @Test
    void aReceiverThatKnowsAVersionIsToldOnlyWhatHasChanged() {
        directory.listed(List.of(node(OTHER, 1)), 0);
        long known = directory.since(0).version();
        directory.changed(List.of(added(node(THIRD, 2))), 0);
        Directory.Update update = directory.since(known);

        assertThat(update.whole()).isFalse();
        assertThat(update.changes()).extracting(KeyValueStore.Change::key).containsExactly(Directory.NODES + THIRD);
        assertThat(directory.since(update.version()).changes()).isEmpty();
    }

    @Test
    void aNodeThatIsOnlyVanishingIsNotToldAsGone() {
        directory.listed(List.of(node(OTHER, 1)), 0);
        long known = directory.since(0).version();
        directory.changed(List.of(removed(Directory.NODES + OTHER)), 0);
        assertThat(directory.since(known).changes()).isEmpty();
        directory.forgetVanished(10_000, host -> false);

        assertThat(directory.since(known).changes()).containsExactly(removed(Directory.NODES + OTHER));
    }

    @Test
    void aReceiverEndsWithWhatTheSenderKnows() {
        Directory receiver = new Directory(THIRD, ZONE, (name, item) -> {});
        directory.listed(List.of(node(SELF, 1), node(OTHER, 2), claim(3)), 0);
        receiver.told(directory.since(0));
        long known = directory.since(0).version();
        directory.changed(List.of(removed(Directory.NODES + OTHER), added(node(THIRD, 4))), 0);
        directory.forgetVanished(10_000, host -> false);
        receiver.told(directory.since(known));

        assertThat(receiver.others()).containsOnlyKeys(SELF);
        assertThat(directory.others()).containsOnlyKeys(THIRD);
    }

    @Test
    void versionsOfTwoNodesThatStartedAtTheSameTimeAreToldApart() {
        Incarnation sameMoment = new Incarnation(1_700_000_000_000L);

        assertThat(Directory.source(SELF, sameMoment)).isNotEqualTo(Directory.source(OTHER, sameMoment));
        assertThat(Directory.source(SELF, sameMoment)).isNotEqualTo(Directory.source(SELF, new Incarnation(1)));
    }

    @Test
    void aWholeDirectoryReplacesWhatWasKnown() {
        directory.listed(List.of(node(OTHER, 1), claim(2)), 0);
        directory.told(new Directory.Update(9, true, List.of(added(node(THIRD, 5)))));

        assertThat(directory.others()).containsOnlyKeys(THIRD);
        assertThat(claims).containsExactly(CLAIM + " taken", CLAIM + " free");
    }

    @Test
    void aClaimThatIsFreeIsToldAtOnce() {
        directory.listed(List.of(claim(1)), 0);
        directory.changed(List.of(removed(Directory.CLAIMS + CLAIM)), 0);

        assertThat(claims).containsExactly(CLAIM + " taken", CLAIM + " free");
    }

    @Test
    void anEntryThatCannotBeReadNamesNoNode() {
        KeyValueStore.Item broken = new KeyValueStore.Item(Directory.NODES + OTHER, new byte[] {'{'}, 1);
        KeyValueStore.Item strange = new KeyValueStore.Item(Directory.NODES + "No Host", new byte[0], 2);
        directory.listed(List.of(broken, strange, node(THIRD, 3)), 0);

        assertThat(directory.others()).containsOnlyKeys(THIRD);
    }

    private static KeyValueStore.Item node(HostId host, long revision) {
        Member member =
                new Member(host, ZONE, "127.0.0.1:1", new Incarnation(1), new ServiceId("orders"), "i-1", 10, true, 0);
        return new KeyValueStore.Item(Directory.NODES + host, member.stored(), revision);
    }

    private static KeyValueStore.Item claim(long revision) {
        return new KeyValueStore.Item(Directory.CLAIMS + CLAIM, new byte[] {'{', '}'}, revision);
    }

    private static KeyValueStore.Change added(KeyValueStore.Item item) {
        return new KeyValueStore.Change(item.key(), Optional.of(item));
    }

    private static KeyValueStore.Change removed(String key) {
        return new KeyValueStore.Change(key, Optional.empty());
    }
}
