package org.trefoilledge.sidecar;

/** A configuration that cannot be understood. */
public final class ConfigFormatException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception with what was expected and what was found. */
    public ConfigFormatException(String message, Throwable cause) {
        super(message, cause);
    }
}
