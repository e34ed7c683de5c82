package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ServiceId;

class UpstreamWatchTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final long HEARTBEAT_MILLIS = 1_500;

    private static final long DEREGISTERED_MILLIS = 150;

    private final UpstreamWatch watch = new UpstreamWatch(ORDERS, HEARTBEAT_MILLIS, () -> DEREGISTERED_MILLIS);

    @Test
    void lateHeartbeatDoesNotRestoreAnUpstreamDrainedBeforeANodeRestart() {
        watch.restoreDeparted(DepartedRuns.NONE.withRun(100));
        sendHeartbeat("i-1", 1, 100, false);
        assertThat(watch.current().serving()).isFalse();
        sendHeartbeat("i-1", 1, 200, false);

        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void upstreamServesAfterItsFirstHeartbeat() {
        assertThat(watch.current().serving()).isFalse();
        assertThat(sendHeartbeat("i-1", 1, 100, false)).isTrue();

        assertThat(watch.current()).isEqualTo(new LocalUpstream("i-1", ORDERS, 10, LocalUpstream.State.SERVING));
    }

    @Test
    void outOfOrderHeartbeatDoesNotEndDraining() {
        sendHeartbeat("i-1", 1, 100, false);
        sendHeartbeat("i-1", 3, 100, true);
        sendHeartbeat("i-1", 2, 100, false);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.DRAINING);
    }

    @Test
    void heartbeatAfterDeregistrationDoesNotEndDraining() {
        sendHeartbeat("i-1", 1, 100, false);
        watch.applyAnnouncement(new Announcement.Deregistration("i-1"), 0);
        sendHeartbeat("i-1", 2, 100, false);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.DRAINING);
    }

    @Test
    void deregistrationBeforeAnyHeartbeatIsKept() {
        watch.applyAnnouncement(new Announcement.Deregistration("i-1"), 0);
        sendHeartbeat("i-1", 9, 100, false);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.DRAINING);
    }

    @Test
    void runThatStartsAfterADeregistrationWithItsIdServes() {
        watch.applyAnnouncement(new Announcement.Deregistration("i-1"), 0);
        sendHeartbeat("i-1", 1, DEREGISTERED_MILLIS + 1, false);

        assertThat(watch.current().serving()).isTrue();
    }

    /** Guards against a record that knows less than the one it replaces. */
    @Test
    void restoredRunStaysAmongTheDepartedOnes() {
        watch.restoreDeparted(DepartedRuns.NONE.withRun(100));
        watch.applyAnnouncement(new Announcement.Deregistration("i-2"), 0);

        assertThat(watch.departed().includes("i-1", 100)).isTrue();
        assertThat(watch.departed().includes("i-2", 120)).isTrue();
        assertThat(watch.departed().includes("i-1", 101)).isFalse();
    }

    /** Guards against a deregistration that is taken for a repeated one of an earlier run with the same id. */
    @Test
    void deregistrationAfterAnotherOneOfItsIdHoldsForALaterRun() {
        watch.restoreDeparted(DepartedRuns.NONE.withRun(100));
        sendHeartbeat("i-1", 1, 100, false);
        watch.applyAnnouncement(new Announcement.Deregistration("i-1"), 0);
        sendHeartbeat("i-1", 1, 120, false);
        assertThat(watch.current().serving()).isFalse();
        sendHeartbeat("i-1", 1, DEREGISTERED_MILLIS + 1, false);

        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void deregistrationOfADrainingRunDoesNotHoldForALaterRun() {
        sendHeartbeat("i-1", 1, 100, true);
        watch.applyAnnouncement(new Announcement.Deregistration("i-1"), 0);
        sendHeartbeat("i-1", 1, 120, false);

        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void runOlderThanADepartedOneDoesNotServe() {
        watch.restoreDeparted(DepartedRuns.NONE.withRun(100));
        sendHeartbeat("i-0", 1, 50, false);

        assertThat(watch.current().serving()).isFalse();
    }

    @Test
    void drainingReportOfAnEarlierRunIsKept() {
        sendHeartbeat("i-2", 1, 200, false);
        sendHeartbeat("i-1", 9, 100, true);

        assertThat(watch.current().serving()).isTrue();
        assertThat(watch.departed().includes("i-1", 100)).isTrue();
    }

    @Test
    void laterRunWithTheSameIdServesAgain() {
        sendHeartbeat("i-1", 7, 100, true);
        sendHeartbeat("i-1", 1, 200, false);

        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void delayedHeartbeatOfAnEarlierRunIsIgnored() {
        sendHeartbeat("i-2", 1, 200, false);
        sendHeartbeat("i-1", 50, 100, true);

        assertThat(watch.current().id()).isEqualTo("i-2");
        assertThat(watch.current().serving()).isTrue();
    }

    @Test
    void heartbeatOfAnotherServiceIsRejected() {
        assertThat(watch.applyAnnouncement(
                        new Announcement.Heartbeat("i-1", new ServiceId("tracking"), 10, false, 1, 100), 0))
                .isFalse();
        assertThat(watch.current().serving()).isFalse();
    }

    @Test
    void upstreamIsGoneAfterMissedHeartbeats() {
        sendHeartbeat("i-1", 1, 100, false);
        watch.checkHeartbeatTimeout(4 * HEARTBEAT_MILLIS);
        assertThat(watch.current().serving()).isTrue();
        watch.checkHeartbeatTimeout(4 * HEARTBEAT_MILLIS + 1);

        assertThat(watch.current().state()).isEqualTo(LocalUpstream.State.GONE);
    }

    private boolean sendHeartbeat(String id, long sequence, long started, boolean draining) {
        return watch.applyAnnouncement(new Announcement.Heartbeat(id, ORDERS, 10, draining, sequence, started), 0);
    }
}
