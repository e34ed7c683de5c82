package org.trefoilledge.core.membership;

/**
 * Settings of the gossip.
 *
 * @param exchangeMillis time between two exchanges that a node starts
 * @param ackMillis a member that did not acknowledge within this time is probed through others
 * @param probeMillis how long an indirect probe may take before the member is suspected
 * @param suspectMillis how long a suspected member may refute the suspicion
 * @param deadMillis how long dead entries are kept, so that they are not learned again
 * @param syncMillis least time between two synchronisations that a node starts
 * @param reconnectMillis time between two attempts to reach a member that was lost
 * @param isolatedGraceMillis grace period of {@link Isolation}; -1 disables the rule
 */
public record GossipSettings(
        long exchangeMillis,
        long ackMillis,
        long probeMillis,
        long suspectMillis,
        long deadMillis,
        long syncMillis,
        long reconnectMillis,
        long isolatedGraceMillis) {
    /** The settings of section 5 of the design. */
    public static final GossipSettings DEFAULT =
            new GossipSettings(500, 500, 1_000, 5_000, 60_000, 10_000, 5_000, 10_000);

    /** Checks that the times are positive. */
    public GossipSettings {
        long least = Math.min(Math.min(exchangeMillis, ackMillis), Math.min(probeMillis, suspectMillis));
        if (least <= 0 || deadMillis <= 0 || syncMillis <= 0 || reconnectMillis <= 0) {
            throw new IllegalArgumentException("gossip times must be positive");
        }
    }

    /** Returns these settings with another grace period for isolated nodes. */
    public GossipSettings withIsolatedGraceMillis(long millis) {
        return new GossipSettings(
                exchangeMillis, ackMillis, probeMillis, suspectMillis, deadMillis, syncMillis, reconnectMillis, millis);
    }
}
