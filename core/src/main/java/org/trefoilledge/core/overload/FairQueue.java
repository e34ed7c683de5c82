package org.trefoilledge.core.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.trefoilledge.core.OrganisationId;

/**
 * The queue of one importance class. Organisations are served by start-time fair queueing, weighted by rate; within
 * an organisation the oldest call is first, or the newest while the class has a standing delay.
 */
final class FairQueue {
    private final long targetMillis;
    private final long windowMillis;
    private final Map<OrganisationId, Flow> flows = new HashMap<>();
    private final List<Flow> backlogged = new ArrayList<>();
    private double virtualTime;
    private int size;
    private long overTargetSinceMillis = -1;
    private boolean standing;

    FairQueue(long targetMillis, long windowMillis) {
        this.targetMillis = targetMillis;
        this.windowMillis = windowMillis;
    }

    int size() {
        return size;
    }

    /** Returns whether the queue delay has been over its target for the whole window. */
    boolean standing() {
        return standing;
    }

    void configure(Map<OrganisationId, Double> weights) {
        flows.values().removeIf(flow -> flow.size == 0);
        flows.forEach((organisation, flow) -> flow.weight = weights.getOrDefault(organisation, 1.0));
    }

    Flow flow(OrganisationId organisation, Map<OrganisationId, Double> weights) {
        Flow known = flows.get(organisation);
        if (known != null) {
            return known;
        }
        Flow added = new Flow(this, weights.getOrDefault(organisation, 1.0));
        flows.put(organisation, added);
        return added;
    }

    void add(Flow flow, PendingCall call) {
        if (flow.size == 0) {
            // An idle organisation does not save up service for later.
            flow.virtualFinish = Math.max(flow.virtualFinish, virtualTime);
            backlogged.add(flow);
        }
        flow.add(call);
        size++;
    }

    void remove(PendingCall call) {
        Flow flow = call.flow;
        flow.remove(call);
        size--;
        if (flow.size == 0) {
            backlogged.remove(flow);
        }
    }

    /** Returns the call to run next, or null when the queue is empty. */
    PendingCall peek(boolean newestFirst) {
        Flow first = null;
        for (int i = 0; i < backlogged.size(); i++) {
            Flow flow = backlogged.get(i);
            if (first == null || flow.virtualFinish < first.virtualFinish) {
                first = flow;
            }
        }
        if (first == null) {
            return null;
        }
        return newestFirst ? first.newest : first.oldest;
    }

    /** Charges the flow of a dispatched call. Calls that are refused after leaving the queue are not charged. */
    void charge(Flow flow) {
        virtualTime = Math.max(virtualTime, flow.virtualFinish);
        flow.virtualFinish = virtualTime + 1 / flow.weight;
    }

    /** Returns the flow with the largest backlog by weight, where the given flow counts with one call more. */
    Flow largest(Flow arriving) {
        Flow largest = arriving;
        double most = (arriving.size + 1) / arriving.weight;
        for (int i = 0; i < backlogged.size(); i++) {
            Flow flow = backlogged.get(i);
            double backlog = flow.size / flow.weight;
            if (backlog > most) {
                most = backlog;
                largest = flow;
            }
        }
        return largest;
    }

    /** Returns the age of the oldest call, or 0 when the queue is empty. */
    long delayMillis(long now) {
        long oldest = now;
        for (int i = 0; i < backlogged.size(); i++) {
            oldest = Math.min(oldest, backlogged.get(i).oldest.arrivedMillis);
        }
        return now - oldest;
    }

    void observeDelay(long now) {
        if (delayMillis(now) <= targetMillis) {
            overTargetSinceMillis = -1;
            standing = false;
            return;
        }
        if (overTargetSinceMillis < 0) {
            overTargetSinceMillis = now;
        }
        standing = now - overTargetSinceMillis >= windowMillis;
    }

    void forEach(Consumer<PendingCall> visitor) {
        for (Flow flow : List.copyOf(backlogged)) {
            PendingCall call = flow.oldest;
            while (call != null) {
                PendingCall next = call.newer;
                visitor.accept(call);
                call = next;
            }
        }
    }
}
