package org.trefoilledge.core.rate;

import java.util.OptionalLong;

/**
 * Decides when claims that look free may be acquired from a store that may have been restored from a backup. A restore
 * removes claims whose holders grant tokens until their leases end by their own clocks, so that an organisation would get
 * its rate twice if another node acquired such a claim at once. Answers the load of organisations at their limits while
 * the store is restored. Not thread-safe.
 */
public final class RestoreDelay {
    private final boolean firstStart;
    private final long waitMillis;
    private OptionalLong epoch = OptionalLong.empty();
    private boolean restoreSeen;
    private long epochSinceMillis;
    /** Highest epoch in which another node has acquired a claim after its own delay. */
    private long settledEpoch = Long.MIN_VALUE;

    /** Lowest epoch that a claim in the store states; a claim that states none may be from before a restore. */
    private long lowestClaimEpoch = Long.MAX_VALUE;

    /**
     * @param firstStart whether the fleet starts for the first time, so that there are no holders of claims
     * @param waitMillis longest time for which a holder that has not noticed a restore grants tokens
     */
    public RestoreDelay(boolean firstStart, long waitMillis) {
        this.firstStart = firstStart;
        this.waitMillis = waitMillis;
    }

    /** Records the current epoch of the store, empty if the store states none; each new epoch restarts the delay. */
    public void observe(OptionalLong current, long now) {
        if (!current.equals(epoch)) {
            restoreSeen |= epoch.isPresent();
            epoch = current;
            epochSinceMillis = now;
        }
    }

    /**
     * Records a claim in the store.
     *
     * @param acquiredEpoch epoch in which a node acquired the claim when its delay was over, empty if not stated
     */
    public void observeClaim(OptionalLong acquiredEpoch) {
        long stated = acquiredEpoch.orElse(Long.MIN_VALUE);
        settledEpoch = Math.max(settledEpoch, stated);
        lowestClaimEpoch = Math.min(lowestClaimEpoch, stated);
    }

    /** Returns whether free claims may be acquired: no earlier holder can grant tokens any more. */
    public boolean mayAcquire(long now) {
        if (epoch.isEmpty() || settledEpoch == epoch.getAsLong()) {
            return true;
        }
        boolean noEarlierHolders = firstStart && !restoreSeen && lowestClaimEpoch >= epoch.getAsLong();
        return noEarlierHolders || now - epochSinceMillis >= waitMillis;
    }
}
