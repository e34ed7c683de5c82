package org.trefoilledge.configstore;

/** The answer was lost: the request may have taken effect. */
public class StoreOutcomeUnknownException extends StoreException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for logs and operators. */
    public StoreOutcomeUnknownException(String message) {
        super(message);
    }

    /** Creates an exception with a message for logs and operators, and its cause. */
    public StoreOutcomeUnknownException(String message, Throwable cause) {
        super(message, cause);
    }
}
