package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.wire.SocketTransport;

/** The owners of single records, with a store that is restored from a copy. */
class RestoredStoreTest {
    private static final HostId HOST = new HostId("host-1");
    private static final String ENTRY = Directory.NODE_PREFIX + HOST;
    private static final String RECORD = "departures/" + HOST;
    private static final DepartedRuns FIRST_RUN = DepartedRuns.NONE.withRun(1_000);
    /** More than the interval of renewals and the longest delay of a repetition. */
    private static final long NOTICE_MILLIS = 3_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final EventLoop control = (EventLoop) group.next();
    private final MemoryStore store = new MemoryStore();
    private final KeyValueStore client = store.client(control);
    private final StoreNotes notes = new StoreNotes(new SidecarMetrics());

    RestoredStoreTest() {
        store.epoch(1);
    }

    @AfterEach
    void tearDown() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void entryIsWrittenAgainUnderANewLease() throws Exception {
        MemoryStore.Copy empty = store.copy();
        Registration registration = startRegistration();
        Thread.sleep(500);
        assertThat(store.value(ENTRY)).isPresent();
        store.restore(empty);
        Thread.sleep(NOTICE_MILLIS);

        assertEntryIsUnderTheLeaseOf(registration);
    }

    /** Guards against an entry that stays under a lease of the copy, which nobody renews. */
    @Test
    void entryThatTheCopyHasIsMovedToTheNewLease() throws Exception {
        Registration registration = startRegistration();
        Thread.sleep(500);
        MemoryStore.Copy copy = store.copy();
        for (int i = 0; i < 2; i++) {
            store.restore(copy);
            Thread.sleep(NOTICE_MILLIS);

            assertEntryIsUnderTheLeaseOf(registration);
            assertThat(store.leaseOf(ENTRY)).isNotEqualTo(Optional.of(1L));
        }
    }

    /** Guards against a planned stop that ends the lease of another node, which has the id of the stopping node's. */
    @Test
    void stopDoesNotEndALeaseOfAnotherNode() throws Exception {
        MemoryStore.Copy empty = store.copy();
        Registration registration = startRegistration();
        Thread.sleep(500);
        long lostLease = onControl(registration::leaseId);
        store.restore(empty);
        KeyValueStore other = store.client(control);
        long otherLease = other.startLease(60_000).get(5, TimeUnit.SECONDS);
        assertThat(otherLease).isEqualTo(lostLease);
        Thread.sleep(NOTICE_MILLIS);
        onControl(() -> {
            registration.deregister();
            return null;
        });

        assertThat(other.renewLease(otherLease).get(5, TimeUnit.SECONDS)).isTrue();
        assertThat(store.value(ENTRY)).isEmpty();
    }

    /** The restore hits each step of a registration: lease, write, answers. */
    @Test
    void restoreDuringTheRegistrationLeavesAnEntryUnderAValidLease() throws Exception {
        MemoryStore.Copy empty = store.copy();
        Registration registration = startRegistration();
        for (int i = 0; i < 40; i++) {
            store.restore(empty);
            Thread.sleep(i);
        }
        Thread.sleep(NOTICE_MILLIS);

        assertEntryIsUnderTheLeaseOf(registration);
    }

    @Test
    void departedRunsAreWrittenAgain() throws Exception {
        MemoryStore.Copy empty = store.copy();
        DepartureStore departures = startDepartures(new ArrayList<>());
        save(departures).get(5, TimeUnit.SECONDS);
        store.restore(empty);
        client.read("other").get(5, TimeUnit.SECONDS);
        Thread.sleep(NOTICE_MILLIS);

        assertThat(DepartedRuns.parse(store.value(RECORD).orElseThrow())).isEqualTo(FIRST_RUN);
    }

    /** Guards against an acknowledgement that rests on a write which the restore has undone. */
    @Test
    void departureIsNotAcknowledgedBeforeTheRestoredStoreHasIt() throws Exception {
        MemoryStore.Copy empty = store.copy();
        DepartureStore departures = startDepartures(new ArrayList<>());
        save(departures).get(5, TimeUnit.SECONDS);
        store.restore(empty);
        client.onRestore(() -> store.down(true));
        client.read("other").get(5, TimeUnit.SECONDS);
        CompletableFuture<Void> saved = save(departures);
        Thread.sleep(500);
        assertThat(saved).isNotDone();
        store.down(false);
        saved.get(5, TimeUnit.SECONDS);

        assertThat(store.value(RECORD)).isPresent();
    }

    /** Guards against a record under a lease that belongs to another node since the restore, and ends with it. */
    @Test
    void recordThatTheCopyHasIsMovedToANewLease() throws Exception {
        DepartureStore departures = startDepartures(new ArrayList<>());
        save(departures).get(5, TimeUnit.SECONDS);
        store.restore(store.copy());
        client.read("other").get(5, TimeUnit.SECONDS);
        Thread.sleep(NOTICE_MILLIS);

        assertThat(store.leaseOf(RECORD))
                .hasValueSatisfying(lease -> assertThat(lease).isNotEqualTo(1L));
    }

    private void assertEntryIsUnderTheLeaseOf(Registration registration) throws Exception {
        assertThat(store.leaseOf(ENTRY)).hasValue(onControl(registration::leaseId));
    }

    private Registration startRegistration() throws Exception {
        Clock clock = Clock.system();
        Registration registration =
                new Registration(control, client, notes, clock, RandomGenerator.getDefault(), () -> {});
        client.onRestore(registration::onRestore);
        Member entry = new Member(
                HOST, new ZoneId("a"), "127.0.0.1:1", new Incarnation(1), new ServiceId("orders"), "i-1", 10, true);
        onControl(() -> {
            registration.start(entry);
            return null;
        });
        return registration;
    }

    private DepartureStore startDepartures(List<DepartedRuns> loaded) throws Exception {
        DepartureStore departures =
                new DepartureStore(control, client, notes, HOST, RandomGenerator.getDefault(), loaded::add);
        client.onRestore(departures::onRestore);
        onControl(() -> {
            departures.load();
            return null;
        });
        return departures;
    }

    private CompletableFuture<Void> save(DepartureStore departures) throws Exception {
        return onControl(() -> departures.save(FIRST_RUN));
    }

    private <T> T onControl(Callable<T> action) throws Exception {
        return control.submit(action).get(5, TimeUnit.SECONDS);
    }
}
