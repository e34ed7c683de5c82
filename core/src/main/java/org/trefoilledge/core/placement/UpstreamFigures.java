package org.trefoilledge.core.placement;

import org.trefoilledge.core.HostId;
import org.trefoilledge.core.ZoneId;

/**
 * The figures by which an upstream is chosen or passed over, as this node sees them at one time.
 *
 * @param inFlight calls of this node that are in flight there
 * @param estimatedInFlight estimated calls of all nodes that are in flight there
 * @param limit estimated limit of concurrent calls
 * @param load estimated load, failures included; 1 is a full upstream
 * @param relativeTime service time relative to the mean of the service's upstreams, 1 if it is not known
 * @param expectedTime expected time of one more call, in mean service times of the service
 * @param failureRate fraction of the recent calls that failed
 * @param ejectedMillis time until the end of the ejection, 0 if the upstream is not ejected
 * @param cold whether the upstream is cold, so that it is used after the others
 * @param inSubset whether the upstream is among those of the service that this node uses
 * @param silent whether the node on the upstream's host does not answer
 * @param backedOff whether the host is avoided for a short time after a refusal or a failed connection
 */
public record UpstreamFigures(
        HostId host,
        ZoneId zone,
        int inFlight,
        double estimatedInFlight,
        double limit,
        double load,
        double relativeTime,
        double expectedTime,
        double failureRate,
        long ejectedMillis,
        boolean cold,
        boolean inSubset,
        boolean silent,
        boolean backedOff) {
    /** Returns whether the upstream is ejected. */
    public boolean isEjected() {
        return ejectedMillis > 0;
    }

    /** Returns whether the upstream is cold and its rate allows no more calls at the moment. */
    boolean isColdAndFull() {
        return cold && load >= Placer.MAX_COLD_LOAD;
    }

    /** Returns whether the upstream is used only if no other is left. */
    public boolean isAvoided() {
        return silent || backedOff;
    }

    /** Returns a copy with the state of the host that the dispatcher knows. */
    UpstreamFigures withHost(boolean isInSubset, boolean isSilent, boolean isBackedOff) {
        return new UpstreamFigures(
                host,
                zone,
                inFlight,
                estimatedInFlight,
                limit,
                load,
                relativeTime,
                expectedTime,
                failureRate,
                ejectedMillis,
                cold,
                isInSubset,
                isSilent,
                isBackedOff);
    }
}
