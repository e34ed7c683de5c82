package org.trefoilledge.core.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.trefoilledge.core.OrganisationId;

/**
 * The queue of one importance class. Start-time fair queueing, weighted by rate, selects the organisation to serve.
 * Within an organisation, calls are dequeued in arrival order, or newest first while the class has a standing delay.
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

    /** Returns whether the queue delay has exceeded its target for a whole window. */
    boolean hasStandingDelay() {
        return hasStandingDelay;
    }

    /** Removes empty flows and updates the weights of the others; the default weight is 1. */
    void updateWeights(Map<OrganisationId, Double> weights) {
        flows.values().removeIf(flow -> flow.size == 0);
        flows.forEach((organisation, flow) -> flow.weight = weights.getOrDefault(organisation, 1.0));
    }

    /** Returns the flow of an organisation, which is created if absent. */
    Flow flowOf(OrganisationId organisation, Map<OrganisationId, Double> weights) {
        Flow existing = flows.get(organisation);
        if (existing != null) {
            return existing;
        }
        Flow created = new Flow(this, weights.getOrDefault(organisation, 1.0));
        flows.put(organisation, created);
        return created;
    }

    void add(Flow flow, PendingCall call) {
        if (flow.size == 0) {
            // An idle organisation does not accumulate credit.
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

    /** Returns the call to run next, or null if the queue is empty. */
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

    /** Advances the virtual time of the flow of a dispatched call. Refused calls are not charged. */
    void charge(Flow flow) {
        virtualTime = Math.max(virtualTime, flow.virtualFinishTime);
        flow.virtualFinishTime = virtualTime + 1 / flow.weight;
    }

    /** Returns the flow with the largest backlog per weight, counting one additional call for the arriving flow. */
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

    /** Returns the age of the oldest call in milliseconds, or 0 if the queue is empty. */
    long delayMillis(long now) {
        long oldest = now;
        for (int i = 0; i < backloggedFlows.size(); i++) {
            oldest = Math.min(oldest, backloggedFlows.get(i).oldest.arrivedMillis);
        }
        return now - oldest;
    }

    /** Updates {@link #hasStandingDelay()} from the present queue delay. */
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

    /** Visits all queued calls; the visitor may remove the visited call. */
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
