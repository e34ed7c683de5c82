package org.trefoilledge.wire;

import java.util.Objects;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.wire.generated.Hello;

/** Identifies one run of a node by its host, availability zone and incarnation. */
public record PeerIdentity(HostId host, ZoneId zone, Incarnation incarnation) {
    /** Version of the protocol between nodes; connections to peers with another version are closed. */
    static final int PROTOCOL_VERSION = 2;

    /** Checks that no component is null. */
    public PeerIdentity {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /**
     * Returns the identity in the first message of a connection.
     *
     * @throws ProtocolException if the protocol version differs or the identity is invalid
     */
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

    /** Returns whether this identifies a later run of the same host. */
    boolean isLaterIncarnationOf(PeerIdentity other) {
        return host.equals(other.host) && incarnation.compareTo(other.incarnation) > 0;
    }

    // The generated methods of a record are slow until the JIT compiler has optimised them, and each request looks up
    // an identity.
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
