package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ServiceId;

class UpstreamWatchTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final UpstreamWatch watch = new UpstreamWatch(ORDERS, HEARTBEAT_MILLIS);

    @Test
    void anUpstreamThatHadLeftBeforeThisNodeRestartedStaysOutWhateverALateHeartbeatSays() {
        watch.leftBefore("i-1", 100);
        heartbeat("i-1", 1, 100, false);
        assertThat(watch.current().serving()).isFalse();
        heartbeat("i-1", 1, 200, false);

        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void anUpstreamServesOnceItHasAnnouncedItself() {
        assertThat(watch.current().serving()).isFalse();
        assertThat(heartbeat("i-1", 1, 100, false)).isTrue();

        assertThat(watch.current()).isEqualTo(new LocalUpstream("i-1", ORDERS, 10, LocalUpstream.State.SERVING));
    }

    @Test
    void aLateHeartbeatDoesNotBringBackADrainingUpstream() {
        heartbeat("i-1", 1, 100, false);
        heartbeat("i-1", 3, 100, true);
        heartbeat("i-1", 2, 100, false);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.DRAINING);
    }

    @Test
    void anUpstreamThatHasSaidThatItLeavesStaysOut() {
        heartbeat("i-1", 1, 100, false);
        watch.announced(new Announcement.Leaving("i-1"), 0);
        heartbeat("i-1", 2, 100, false);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.DRAINING);
    }

    @Test
    void leavingHoldsForANodeThatStartedAfterTheLastHeartbeat() {
        watch.announced(new Announcement.Leaving("i-1"), 0);
        heartbeat("i-1", 9, 100, false);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.DRAINING);
    }

    @Test
    void aLaterRunWithTheSameIdServesAgain() {
        heartbeat("i-1", 7, 100, true);
        heartbeat("i-1", 1, 200, false);

        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void aDelayedHeartbeatOfAnEarlierRunHasNoEffect() {
        heartbeat("i-2", 1, 200, false);
        heartbeat("i-1", 50, 100, true);

        assertThat(watch.current().id()).isEqualTo("i-2");
        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void aHeartbeatOfAnotherServiceNamesNoUpstreamToUse() {
        assertThat(watch.announced(new Announcement.Heartbeat("i-1", new ServiceId("tracking"), 10, false, 1, 100), 0))
                .isFalse();
        assertThat(watch.current().serving()).isFalse();
    }

    @Test
    void anUpstreamWhoseHeartbeatsHaveStoppedIsGone() {
        heartbeat("i-1", 1, 100, false);
        watch.tick(4 * HEARTBEAT_MILLIS);
        assertThat(watch.current().serving()).isTrue();
        watch.tick(4 * HEARTBEAT_MILLIS + 1);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.GONE);
    }

    private boolean heartbeat(String id, long sequence, long started, boolean draining) {
        return watch.announced(new Announcement.Heartbeat(id, ORDERS, 10, draining, sequence, started), 0);
    }
}
