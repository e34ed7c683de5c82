package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The epochs that a store states in its answers. Each restore of the store from a backup starts a new epoch, in which
 * revisions and lease ids are issued again. A store that states no epoch has none. Used on the control thread.
 */
public final class StoreEpochs {
    private final List<Runnable> listeners = new ArrayList<>();
    private OptionalLong current = OptionalLong.empty();
    /** Written on the control thread, read by any that sends a call. */
    private final AtomicLong restores = new AtomicLong();

    /** Adds a listener that is called when an answer states a higher epoch than an earlier answer. */
    public void onRestore(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the highest epoch that an answer has stated, empty if none has stated any. */
    public OptionalLong current() {
        return current;
    }

    /** Returns the number of restores noticed so far, to be passed to {@link #accept} with the answer to a call. */
    public long restores() {
        return restores.get();
    }

    /**
     * Records the epoch of an answer, and calls the listeners if it is a new one.
     *
     * @param stated epoch that the answer states, empty if it states none
     * @param restoresWhenSent result of {@link #restores} when the call was sent
     * @param boundToEpoch whether the call refers to a revision or a lease, which have another meaning in another epoch
     * @return whether the answer may be used; otherwise the outcome of the call is unknown
     */
    public boolean accept(OptionalLong stated, long restoresWhenSent, boolean boundToEpoch) {
        if (stated.isPresent()) {
            long epoch = stated.getAsLong();
            if (current.isPresent() && epoch < current.getAsLong()) {
                return false;
            }
            boolean restored = current.isPresent() && epoch > current.getAsLong();
            current = stated;
            if (restored) {
                restores.incrementAndGet();
                listeners.forEach(Runnable::run);
            }
        }
        return !boundToEpoch || restores.get() == restoresWhenSent;
    }
}
