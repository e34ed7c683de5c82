package org.trefoilledge.core.placement;

import java.util.Objects;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/**
 * An upstream to which calls may be sent.
 *
 * @param peerAddress address of the node on the upstream's host
 * @param incarnation run of that node; a new run starts without recorded load and failures
 * @param slots number of concurrent calls that the upstream announced
 * @param cold whether the upstream handles few requests for now, because it has just started
 */
public record Candidate(
        HostId host,
        ZoneId zone,
        ServiceId service,
        String peerAddress,
        Incarnation incarnation,
        int slots,
        boolean cold) {
    /** Creates a candidate that is not cold. */
    public Candidate(
            HostId host, ZoneId zone, ServiceId service, String peerAddress, Incarnation incarnation, int slots) {
        this(host, zone, service, peerAddress, incarnation, slots, false);
    }

    /** Checks that every field is present and that there is at least one slot. */
    public Candidate {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(peerAddress, "peer address");
        Objects.requireNonNull(incarnation, "incarnation");
        if (slots < 1) {
            throw new IllegalArgumentException("slots of " + host + " must be at least 1, but was: " + slots);
        }
    }
}
