package org.trefoilledge.configstore;

/** The store did not do what was asked. */
public class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for logs and operators. */
    public StoreException(String message) {
        super(message);
    }

    /** Creates an exception with a message for logs and operators, and its cause. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
