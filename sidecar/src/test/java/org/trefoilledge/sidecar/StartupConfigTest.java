package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

class StartupConfigTest {
    private static final HostId SELF = new HostId("host-1");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final OptionalLong EPOCH = OptionalLong.of(3);

    private final Directory directory = new Directory(SELF, ZONE, (name, item) -> {});
    private final StartupConfig startup = new StartupConfig(false, directory);

    @BeforeEach
    void listAnotherNode() {
        Member other = new Member(
                new HostId("host-2"),
                ZONE,
                "127.0.0.1:1",
                new Incarnation(1),
                new ServiceId("orders"),
                "i-2",
                4,
                true,
                false);
        String key = Directory.NODE_PREFIX + other.host();
        directory.applyStoreListing(List.of(new KeyValueStore.Item(key, other.toJson(), 1)), 0);
    }

    /** Guards against a withdrawn key that a restored store brings back: the other node has the newer version. */
    @Test
    void waitsForANodeThatHasAConfiguration() {
        startup.recordPeerVersion(7);

        assertThat(startup.acceptsFromStore(EPOCH, false, 0)).isFalse();
        assertThat(startup.acceptsFromStore(EPOCH, true, 100)).isTrue();
    }

    /** Guards against a fleet that lost power as a whole and waits for itself before it serves again. */
    @Test
    void takesTheStoresConfigurationIfTheOtherNodeHasNone() {
        assertThat(startup.acceptsFromStore(EPOCH, false, 0)).isFalse();
        startup.recordPeerVersion(0);

        assertThat(startup.acceptsFromStore(EPOCH, false, 799)).isFalse();
        assertThat(startup.acceptsFromStore(EPOCH, false, 800)).isTrue();
    }

    @Test
    void storeWithoutEpochsIsUsedAtOnce() {
        assertThat(startup.acceptsFromStore(OptionalLong.empty(), false, 0)).isTrue();
    }
}
