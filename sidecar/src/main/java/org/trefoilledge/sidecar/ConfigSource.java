package org.trefoilledge.sidecar;

import java.util.Locale;

/** How a configuration document reached this node. */
enum ConfigSource {
    WATCH,
    READ,
    PEER;

    /** Returns the name in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
