package org.trefoilledge.core.authority;

/**
 * Times of the protocol in milliseconds. All hosts of a zone must use the same lease, promise and late-dispatch times.
 *
 * @param shards shards of the zone
 * @param leaseMillis L: how long a read of the record gives authority
 * @param promiseMillis H: how long a promise holds, and how long a started node does not vote
 * @param lateDispatchMillis how long a dispatch may be late after the check of authority (section 7.2 of the design)
 * @param suspicionMillis how long membership must suspect a member before it is marked
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

    /** Checks that all figures are positive. */
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
