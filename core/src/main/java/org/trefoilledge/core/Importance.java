package org.trefoilledge.core;

/** How important a root request is. Its child calls inherit it. The most important comes first. */
public enum Importance {
    CRITICAL,
    HIGH,
    NORMAL,
    LOW
}
