package org.trefoilledge.sidecar;

/** Features that are switched on by the terms of a deployment, or by the {@code features} section of the settings. */
public enum Feature {
    /** Admits only as many call trees as the retry budget can complete while upstreams reject calls. */
    TREE_ADMISSION("tree-admission"),
    /** Learns the speed and the usable concurrency of each upstream, and places calls by them. */
    LEARNED_CAPACITY("learned-capacity");

    private final String key;

    Feature(String key) {
        this.key = key;
    }

    /** Returns the key of the feature in the settings. */
    public String key() {
        return key;
    }
}
