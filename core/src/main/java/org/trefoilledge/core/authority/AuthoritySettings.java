package org.trefoilledge.core.authority;

/**
 * Settings of the authority protocol; times in milliseconds. All hosts of a zone must use the same lease,
 * promise and late-dispatch times.
 *
 * @param shards number of shards of the zone
 * @param leaseMillis L: how long a read of the record grants authority
 * @param promiseMillis H: how long a promise is valid, and how long a node does not vote after its start
 * @param lateDispatchMillis maximum delay of a dispatch after its check of authority (section 7.2 of the design)
 * @param suspicionMillis how long membership must suspect a member before it is marked for removal
 * @param observerReadMillis interval of reads of a host that is not in the panel
 */
public record AuthoritySettings(
        int shards,
        long leaseMillis,
        long promiseMillis,
        long lateDispatchMillis,
        long suspicionMillis,
        long observerReadMillis) {
    /** The settings of a node with 16 shards in its zone. */
    public static final AuthoritySettings DEFAULT = new AuthoritySettings(16, 4_000, 4_000, 3_000, 2_000, 5_000);

    /** Checks that the values are in range. */
    public AuthoritySettings {
        if (shards <= 0 || leaseMillis < 4 || promiseMillis < 4 || lateDispatchMillis < 0) {
            throw new IllegalArgumentException("the times and the number of shards must be positive");
        }
        if (suspicionMillis < 0 || observerReadMillis <= 0) {
            throw new IllegalArgumentException("the suspicion and read intervals must be positive");
        }
    }

    /** Returns these settings with another number of shards. */
    public AuthoritySettings withShards(int count) {
        return new AuthoritySettings(
                count, leaseMillis, promiseMillis, lateDispatchMillis, suspicionMillis, observerReadMillis);
    }

    long readMillis() {
        return leaseMillis / 4;
    }

    long fenceMillis() {
        return leaseMillis + lateDispatchMillis;
    }
}
