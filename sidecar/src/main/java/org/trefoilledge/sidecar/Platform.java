package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.trefoilledge.core.routing.RoutingConfig;

/** What differs between the platforms on which the sidecar runs. */
public interface Platform {
    /** Returns the names of the HTTP headers. */
    HeaderNames headers();

    /** Opens the client of the platform's store; its futures complete on the given thread. */
    KeyValueStore openStore(InetSocketAddress address, EventLoop control);

    /** Returns the key under which operators store the configuration. */
    String configKey();

    /**
     * Reads a configuration as it lies in the store.
     *
     * @throws ConfigFormatException if it cannot be understood
     */
    RoutingConfig readConfig(byte[] document) throws ConfigFormatException;

    /** Reads what the upstream on this host says of itself. */
    Announcement readAnnouncement(String method, String path, byte[] body);
}
