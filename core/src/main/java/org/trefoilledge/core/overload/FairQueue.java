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
    private final long delayTargetMillis;
    private final long delayWindowMillis;
    private final Map<OrganisationId, Flow> flows = new HashMap<>();
    private final List<Flow> backloggedFlows = new ArrayList<>();
    private double virtualTime;
    private int size;
    private long overTargetSinceMillis = -1;
    private boolean hasStandingDelay;

    FairQueue(long targetMillis, long windowMillis) {
        this.delayTargetMillis = targetMillis;
        this.delayWindowMillis = windowMillis;
    }

    int size() {
        return size;
    }

    /** Returns whether the queue delay has been over its target for the whole window. */
    boolean hasStandingDelay() {
        return hasStandingDelay;
    }

    void updateWeights(Map<OrganisationId, Double> weights) {
        flows.values().removeIf(flow -> flow.size == 0);
        flows.forEach((organisation, flow) -> flow.weight = weights.getOrDefault(organisation, 1.0));
    }

    Flow flowOf(OrganisationId organisation, Map<OrganisationId, Double> weights) {
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
            flow.virtualFinishTime = Math.max(flow.virtualFinishTime, virtualTime);
            backloggedFlows.add(flow);
        }
        flow.add(call);
        size++;
    }

    void remove(PendingCall call) {
        Flow flow = call.flow;
        flow.remove(call);
        size--;
        if (flow.size == 0) {
            backloggedFlows.remove(flow);
        }
    }

    /** Returns the call to run next, or null when the queue is empty. */
    PendingCall peek(boolean newestFirst) {
        Flow first = null;
        for (int i = 0; i < backloggedFlows.size(); i++) {
            Flow flow = backloggedFlows.get(i);
            if (first == null || flow.virtualFinishTime < first.virtualFinishTime) {
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
        virtualTime = Math.max(virtualTime, flow.virtualFinishTime);
        flow.virtualFinishTime = virtualTime + 1 / flow.weight;
    }

    /** Returns the flow with the largest backlog by weight, where the given flow counts with one call more. */
    Flow largestBacklog(Flow arriving) {
        Flow largest = arriving;
        double most = (arriving.size + 1) / arriving.weight;
        for (int i = 0; i < backloggedFlows.size(); i++) {
            Flow flow = backloggedFlows.get(i);
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
        for (int i = 0; i < backloggedFlows.size(); i++) {
            oldest = Math.min(oldest, backloggedFlows.get(i).oldest.arrivedMillis);
        }
        return now - oldest;
    }

    void updateStandingDelay(long now) {
        if (delayMillis(now) <= delayTargetMillis) {
            overTargetSinceMillis = -1;
            hasStandingDelay = false;
            return;
        }
        if (overTargetSinceMillis < 0) {
            overTargetSinceMillis = now;
        }
        hasStandingDelay = now - overTargetSinceMillis >= delayWindowMillis;
    }

    void forEach(Consumer<PendingCall> visitor) {
        for (Flow flow : List.copyOf(backloggedFlows)) {
            PendingCall call = flow.oldest;
            while (call != null) {
                PendingCall next = call.newer;
                visitor.accept(call);
                call = next;
            }
        }
    }
}
