package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;

/** Maintains this node's lease and its entry in the store. Used on the control thread. */
@SuppressWarnings("FutureReturnValueIgnored") // the outcome of each call is recorded in StoreNotes
final class Registration {
    private static final Logger LOG = LoggerFactory.getLogger(Registration.class);
    /**
     * Longest time for which the entry and the claims of a node outlive it. During a store outage, keys are refused once
     * the revocation time has passed; until then the owners of the limits should keep their claims.
     */
    static final long LEASE_DURATION_MILLIS = 7_000;
    /** An entry whose lease expired during a store outage must be written again within two seconds of the outage's end. */
    private static final long RENEWAL_INTERVAL_MILLIS = 1_500;

    private static final long MIN_RETRY_DELAY_MILLIS = 150;
    private static final long MAX_RETRY_DELAY_MILLIS = 600;

    private final EventLoop control;
    private final KeyValueStore store;
    private final StoreNotes notes;
    private final Clock leaseClock;
    private final RandomGenerator random;
    private final Runnable onLeaseExpired;
    private Member entry;
    private long entryRevision;
    private byte[] writtenValue = new byte[0];
    private long leaseId;
    private boolean requestInFlight;
    private boolean deregistered;
    /** Whether the store was restored, so that the revision of the entry is not known. */
    private boolean revisionUnknown;
    /** Incremented when the store was restored; leases that were requested before are not used. */
    private long restores;

    private long validUntilMillis = Long.MIN_VALUE;

    /**
     * @param leaseClock clock that includes the time for which the host is suspended, in which leases continue to run
     * @param onLeaseExpired called when the store has ended the lease, and may have ended others
     */
    Registration(
            EventLoop control,
            KeyValueStore store,
            StoreNotes notes,
            Clock leaseClock,
            RandomGenerator random,
            Runnable onLeaseExpired) {
        this.control = control;
        this.store = store;
        this.notes = notes;
        this.leaseClock = leaseClock;
        this.random = random;
        this.onLeaseExpired = onLeaseExpired;
    }

    /** Starts a lease and writes the entry under it. */
    void start(Member newEntry) {
        entry = newEntry;
        startLease();
        Repeated.scheduleWithFixedDelay(control, RENEWAL_INTERVAL_MILLIS, this::renewLease);
    }

    /** Replaces this node's entry. */
    void update(Member newEntry) {
        entry = newEntry;
        writeEntryIfChanged();
    }

    /** Ends the lease, which removes the entry. */
    void deregister() {
        deregistered = true;
        if (leaseId != 0) {
            store.endLease(leaseId).whenComplete((done, error) -> notes.recordCall("end-lease", error));
        }
    }

    /**
     * Drops the lease without ending it, because its id can now belong to another node, and registers again. The old entry
     * expires or is overwritten.
     */
    void onRestore() {
        restores++;
        leaseId = 0;
        writtenValue = new byte[0];
        revisionUnknown = true;
        startLease();
    }

    /** Returns the id of this node's lease, 0 if there is none. */
    long leaseId() {
        return leaseId;
    }

    /** Returns the lease clock's time until which the lease certainly runs, {@link Long#MIN_VALUE} without a lease. */
    long validUntilMillis() {
        return leaseId == 0 ? Long.MIN_VALUE : validUntilMillis;
    }

    private void startLease() {
        if (deregistered) {
            return;
        }
        long sent = leaseClock.millis();
        long sentAfterRestores = restores;
        store.startLease(LEASE_DURATION_MILLIS).whenComplete((id, error) -> {
            notes.recordCall("start-lease", error);
            if (sentAfterRestores != restores) {
                return;
            }
            if (error != null) {
                retryLater(() -> {
                    if (sentAfterRestores == restores) {
                        startLease();
                    }
                });
                return;
            }
            leaseId = id;
            validUntilMillis = sent + LEASE_DURATION_MILLIS;
            writeEntryIfChanged();
        });
    }

    private void renewLease() {
        if (leaseId == 0 || deregistered) {
            return;
        }
        long current = leaseId;
        long sent = leaseClock.millis();
        store.renewLease(current).whenComplete((alive, error) -> {
            notes.recordCall("renew-lease", error);
            if (error == null && alive && leaseId == current) {
                validUntilMillis = Math.max(validUntilMillis, sent + LEASE_DURATION_MILLIS);
            } else if (error == null && leaseId == current) {
                LOG.info("store: lease of this node expired; registering again");
                onLeaseExpired.run();
                leaseId = 0;
                writtenValue = new byte[0];
                startLease();
            }
        });
    }

    /**
     * Writes the entry if it differs from the stored one. At most one request is in flight, and each write expects the
     * revision of the previous one.
     */
    private void writeEntryIfChanged() {
        if (requestInFlight || leaseId == 0 || deregistered) {
            return;
        }
        byte[] value = entry.toJson();
        if (Arrays.equals(value, writtenValue)) {
            return;
        }
        String key = Directory.NODE_PREFIX + entry.host();
        if (revisionUnknown) {
            readStoredEntry(key);
            return;
        }
        requestInFlight = true;
        store.write(key, value, entryRevision, leaseId).whenComplete((revision, error) -> {
            requestInFlight = false;
            notes.recordCall("write", error);
            if (error == null && revision.isPresent()) {
                entryRevision = revision.get();
                writtenValue = value;
                writeEntryIfChanged();
            } else {
                readStoredEntry(key);
            }
        });
    }

    private void readStoredEntry(String key) {
        requestInFlight = true;
        store.read(key).whenComplete((item, error) -> {
            requestInFlight = false;
            notes.recordCall("read", error);
            if (error == null) {
                revisionUnknown = false;
                entryRevision = item.map(KeyValueStore.Item::revision).orElse(0L);
                retryLater(this::writeEntryIfChanged);
            } else {
                retryLater(() -> readStoredEntry(key));
            }
        });
    }

    private void retryLater(Runnable action) {
        long delay = random.nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
        control.schedule(action, delay, TimeUnit.MILLISECONDS);
    }
}
