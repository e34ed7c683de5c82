package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.routing.ConfigRefreshPolicy;

/**
 * Guards against a change of the configuration that is not in force in time on a node that no other node tells of it: the
 * collectors of its zone have lost power, or are silent.
 */
@SuppressWarnings("FutureReturnValueIgnored") // the embedded loop runs its tasks when the test says so
class LateConfigTest {
    private static final long BOUND_MILLIS = 2_000;
    /** Time after which a client of the store gives up a call. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private static final long STEP_MILLIS = 10;
    private static final ZoneId ZONE = new ZoneId("a");

    private final MemoryStore store = new MemoryStore();
    private final EmbeddedChannel loop = new EmbeddedChannel();
    private long nowMillis = 100_000;
    private final ConfigState configState = new ConfigState(() -> nowMillis, () -> nowMillis);

    @BeforeEach
    void freezeTime() {
        loop.freezeTime();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changeIsInForceInTimeOnANodeWhoseCollectorsAreSilent(long seed) {
        startNode(seed);
        writeConfig(1);
        run(BOUND_MILLIS);
        for (long version = 2; version < 10; version++) {
            writeConfig(version);
            run(BOUND_MILLIS);

            assertThat(configState.version()).isEqualTo(version);
            run(version * 37);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changeIsInForceInTimeIfTheAnswerToTheFirstReadIsLost(long seed) {
        startNode(seed);
        writeConfig(1);
        run(BOUND_MILLIS);
        for (long version = 2; version < 10; version++) {
            writeConfig(version);
            store.loseNextRead(fail -> loop.eventLoop().schedule(fail, CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            run(BOUND_MILLIS);

            assertThat(configState.version()).isEqualTo(version);
            run(version * 37);
        }
    }

    /** Starts a node that neither watches the store nor is told the version by another node. */
    private void startNode(long seed) {
        Clock clock = () -> nowMillis;
        EventLoop control = loop.eventLoop();
        Directory directory = new Directory(new HostId("host-1"), ZONE, (name, item) -> {});
        SplittableRandom random = new SplittableRandom(seed);
        StoreFollower follower = new StoreFollower(
                control,
                store.client(control),
                new StoreNotes(new SidecarMetrics()),
                new TestPlatform(store),
                configState,
                new EvacuationState(false, clock),
                directory,
                new StartupConfig(true, directory),
                new ConfigRefreshPolicy(BOUND_MILLIS, random),
                clock,
                random,
                new NoListener());
        control.execute(() -> follower.start(0));
        loop.runPendingTasks();
    }

    private void writeConfig(long version) {
        store.put(TestPlatform.CONFIG_KEY, (version + " k").getBytes(StandardCharsets.UTF_8));
    }

    private void run(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            nowMillis += STEP_MILLIS;
            loop.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            loop.runPendingTasks();
        }
    }

    private static final class NoListener implements StoreFollower.Listener {
        @Override
        public void onDirectoryChanged() {}

        @Override
        public void onConfigChanged() {}

        @Override
        public void onConfigRead() {}
    }
}
