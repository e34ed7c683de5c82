package org.trefoilledge.core.membership;

import java.util.Objects;
import java.util.Optional;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;

/**
 * What the fleet knows about one node and its upstream.
 *
 * @param peerAddress IP address and port for messages between nodes
 * @param version grows with each change of the entry within one incarnation
 * @param service service of the upstream, if one has announced itself
 * @param slots concurrent requests that the upstream can execute
 * @param configRevision configuration revision of the node when it announced this version; messages carry the
 *     current one
 */
public record MemberEntry(
        HostId host,
        ZoneId zone,
        String peerAddress,
        Incarnation incarnation,
        long version,
        Optional<ServiceId> service,
        int slots,
        MemberState state,
        long configRevision) {
    /** Checks the values. */
    public MemberEntry {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
        if (version < 0 || slots < 0 || configRevision < 0) {
            throw new IllegalArgumentException("member " + host
                    + ": version, slots and configuration revision must not be negative, but were: " + version + ", "
                    + slots + ", " + configRevision);
        }
    }

    /** Returns whether this entry replaces the other one of the same host. */
    public boolean supersedes(MemberEntry other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        if (byIncarnation != 0) {
            return byIncarnation > 0;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return state.severity() > other.state.severity();
    }

    MemberEntry with(long newVersion, MemberState newState) {
        return new MemberEntry(
                host, zone, peerAddress, incarnation, newVersion, service, slots, newState, configRevision);
    }

    MemberEntry withVersion(long newVersion) {
        return with(newVersion, state);
    }

    MemberEntry withState(MemberState newState) {
        return with(version, newState);
    }

    /** Returns whether both announce the same, apart from the version and the configuration revision. */
    boolean announcesSame(MemberEntry other) {
        return zone.equals(other.zone)
                && peerAddress.equals(other.peerAddress)
                && service.equals(other.service)
                && slots == other.slots
                && state == other.state;
    }
}
