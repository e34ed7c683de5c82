package org.trefoilledge.configstore;

/** The store refused the request or could not be reached; the request had no effect. */
public class StoreUnavailableException extends StoreException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for logs and operators. */
    public StoreUnavailableException(String message) {
        super(message);
    }

    /** Creates an exception with a message for logs and operators, and its cause. */
    public StoreUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
