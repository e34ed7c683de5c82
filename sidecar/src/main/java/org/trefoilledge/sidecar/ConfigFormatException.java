package org.trefoilledge.sidecar;

/** Thrown when a configuration document cannot be parsed. */
public final class ConfigFormatException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message states what was expected and what was found. */
    public ConfigFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
