package org.trefoilledge.sidecar;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.trefoilledge.core.routing.RoutingConfig;

/** Adapts the sidecar to the platform on which it runs. */
public interface Platform {
    /** Returns the names of the HTTP headers that the sidecar reads or sets. */
    HeaderNames headers();

    /** Opens a client of the platform's store. Its futures complete on the given event loop. */
    KeyValueStore openStore(InetSocketAddress address, EventLoop control);

    /**
     * Returns the features that a deployment calls for.
     *
     * @param terms names of the terms that are in force in the deployment; unknown names are ignored
     */
    Set<Feature> features(List<String> terms);

    /** Returns the key under which operators store the configuration. */
    String configKey();

    /** Returns the prefix of all keys under which operators write, the configuration and the evacuations among them. */
    String operatorPrefix();

    /** Returns the prefix of the keys under which operators order the evacuation of a zone; the name of the zone follows. */
    String evacuationPrefix();

    /**
     * Parses a configuration document from the store.
     *
     * @throws ConfigFormatException if the document cannot be parsed
     */
    RoutingConfig readConfig(byte[] document) throws ConfigFormatException;

    /** Parses an HTTP request in which the upstream on this host announces its state. */
    Announcement readAnnouncement(String method, String path, byte[] body);
}
