package org.trefoilledge.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** State that an upstream announces to its node. */
public enum UpstreamState {
    /** Does not accept requests yet. */
    @JsonProperty("starting")
    STARTING,
    /** Accepts requests. */
    @JsonProperty("serving")
    SERVING,
    /** Finishes its current requests and wants no new ones. */
    @JsonProperty("draining")
    DRAINING;

    /** Returns the state name in announcements, which is in lower case. */
    public String announcedName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
