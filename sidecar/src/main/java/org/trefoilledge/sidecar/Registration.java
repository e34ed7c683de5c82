package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;

/** Keeps this node's lease and its entry in the store. Used on the control thread. */
@SuppressWarnings("FutureReturnValueIgnored") // each call notes how it ended
final class Registration {
    private static final Logger LOG = LoggerFactory.getLogger(Registration.class);
    /**
     * An entry and the claims of a node outlive it for at most this time. While the store is away keys are refused after
     * the time in which a withdrawn one has to stop; until then the owners of the limits are to last.
     */
    private static final long LEASE_MILLIS = 7_000;
    /** An entry that lapsed while the store was away has to be back two seconds after its return. */
    private static final long RENEW_MILLIS = 1_500;

    private static final long SHORTEST_RETRY_MILLIS = 150;
    private static final long LONGEST_RETRY_MILLIS = 600;

    private final EventLoop control;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final Clock leaseClock;
    private final RandomGenerator random;
    private final Consumer<Member> earlierRun;
    private Member own;
    private long ownRevision;
    private byte[] written = new byte[0];
    private long lease;
    private boolean writing;
    private boolean leaving;
    private long validUntilMillis = Long.MIN_VALUE;
    private boolean pastKnown;

    /**
     * @param leaseClock counts suspensions, in which leases go on to run
     * @param earlierRun takes the entry that an earlier run of this node has left in the store
     */
    Registration(
            EventLoop control,
            KeyValueStore store,
            StoreNotes notes,
            Clock leaseClock,
            RandomGenerator random,
            Consumer<Member> earlierRun) {
        this.control = control;
        this.store = store;
        this.notes = notes;
        this.leaseClock = leaseClock;
        this.random = random;
        this.earlierRun = earlierRun;
    }

    /** Starts a lease and writes the entry under it. */
    void start(Member self) {
        own = self;
        register();
        Repeated.every(control, RENEW_MILLIS, this::renew);
    }

    /** Changes this node's entry. */
    void update(Member self) {
        own = self;
        writeOwn();
    }

    /** Ends the lease, and with it the entry. */
    void leave() {
        leaving = true;
        if (lease != 0) {
            store.endLease(lease).whenComplete((done, error) -> notes.note("end-lease", error));
        }
    }

    /** Returns the lease of this node, 0 if it has none. */
    long lease() {
        return lease;
    }

    /** Returns the time, on the lease clock, until which the lease certainly runs. */
    long validUntilMillis() {
        return lease == 0 ? Long.MIN_VALUE : validUntilMillis;
    }

    /** Returns whether it is known what an earlier run of this node has left in the store. */
    boolean pastKnown() {
        return pastKnown;
    }

    private void register() {
        if (leaving) {
            return;
        }
        long sent = leaseClock.millis();
        store.startLease(LEASE_MILLIS).whenComplete((id, error) -> {
            notes.note("start-lease", error);
            if (error != null) {
                later(this::register);
                return;
            }
            lease = id;
            validUntilMillis = sent + LEASE_MILLIS;
            writeOwn();
        });
    }

    private void renew() {
        if (lease == 0 || leaving) {
            return;
        }
        long current = lease;
        long sent = leaseClock.millis();
        store.renewLease(current).whenComplete((alive, error) -> {
            notes.note("renew-lease", error);
            if (error == null && alive && lease == current) {
                validUntilMillis = Math.max(validUntilMillis, sent + LEASE_MILLIS);
            } else if (error == null && lease == current) {
                LOG.info("store: the lease of this node has ended; it registers again");
                lease = 0;
                written = new byte[0];
                register();
            }
        });
    }

    /** Writes the entry unless it lies in the store already; one write at a time, under the condition of the last. */
    private void writeOwn() {
        if (writing || lease == 0 || leaving) {
            return;
        }
        byte[] value = own.stored();
        if (Arrays.equals(value, written)) {
            return;
        }
        writing = true;
        String key = Directory.NODES + own.host();
        store.write(key, value, ownRevision, lease).whenComplete((revision, error) -> {
            writing = false;
            notes.note("write", error);
            if (error == null && revision.isPresent()) {
                pastKnown = true;
                ownRevision = revision.get();
                written = value;
                writeOwn();
            } else {
                learnOwnRevision(key);
            }
        });
    }

    private void learnOwnRevision(String key) {
        writing = true;
        store.read(key).whenComplete((item, error) -> {
            writing = false;
            notes.note("read", error);
            if (error == null) {
                ownRevision = item.map(KeyValueStore.Item::revision).orElse(0L);
                item.ifPresent(this::learnPast);
                pastKnown = true;
                later(this::writeOwn);
            } else {
                later(() -> learnOwnRevision(key));
            }
        });
    }

    private void learnPast(KeyValueStore.Item item) {
        try {
            Member past = Member.of(item.value());
            if (!past.incarnation().equals(own.incarnation())) {
                earlierRun.accept(past);
            }
        } catch (IOException e) {
            LOG.warn("store: ignored the earlier entry of this node: {}", e.getMessage());
        }
    }

    private void later(Runnable action) {
        long delay = random.nextLong(SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
        control.schedule(action, delay, TimeUnit.MILLISECONDS);
    }
}
