package org.trefoilledge.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What an upstream announces about itself. */
public enum UpstreamState {
    /** It does not take work yet. */
    @JsonProperty("starting")
    STARTING,
    /** It takes work. */
    @JsonProperty("serving")
    SERVING,
    /** It finishes its work and wants no more. */
    @JsonProperty("draining")
    DRAINING;

    /** Returns the name that is announced. */
    public String announcedName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
