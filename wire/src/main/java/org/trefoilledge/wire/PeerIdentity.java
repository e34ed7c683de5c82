package org.trefoilledge.wire;

import java.util.Objects;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.wire.generated.Hello;

/** Names one run of a node: its host, its availability zone and its incarnation. */
public record PeerIdentity(HostId host, ZoneId zone, Incarnation incarnation) {
    /** Version of the messages between nodes; peers with another version are refused. */
    static final int PROTOCOL_VERSION = 2;

    /** Checks that no part is missing. */
    public PeerIdentity {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Reads an identity from the first message of a connection. */
    static PeerIdentity fromHello(Hello hello) throws ProtocolException {
        if (hello.getProtocol() != PROTOCOL_VERSION) {
            throw new ProtocolException("protocol " + hello.getProtocol() + " instead of " + PROTOCOL_VERSION);
        }
        try {
            return new PeerIdentity(
                    new HostId(hello.getHost()), new ZoneId(hello.getZone()), new Incarnation(hello.getIncarnation()));
        } catch (IllegalArgumentException e) {
            throw new ProtocolException("invalid identity: " + e.getMessage());
        }
    }

    Hello toHello() {
        return Hello.newBuilder()
                .setHost(host.value())
                .setZone(zone.value())
                .setIncarnation(incarnation.value())
                .setProtocol(PROTOCOL_VERSION)
                .build();
    }

    /** Returns whether this is a later run of the other identity's host. */
    boolean isLaterIncarnationOf(PeerIdentity other) {
        return host.equals(other.host) && incarnation.compareTo(other.incarnation) > 0;
    }

    // The generated methods of a record are slow in code that is not optimised yet, and each request looks one up.
    @Override
    public boolean equals(Object other) {
        return other == this
                || (other instanceof PeerIdentity that
                        && that.incarnation.value() == incarnation.value()
                        && that.host.equals(host)
                        && that.zone.equals(zone));
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + Long.hashCode(incarnation.value());
    }

    @Override
    public String toString() {
        return host + "/" + zone + "#" + incarnation;
    }
}
