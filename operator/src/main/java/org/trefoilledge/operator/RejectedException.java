package org.trefoilledge.operator;

import java.util.List;

/** A change that was certainly not made, with the reason and further lines that explain it. */
final class RejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<String> details;

    RejectedException(String reason, List<String> details) {
        super(reason);
        this.details = List.copyOf(details);
    }

    RejectedException(String reason) {
        this(reason, List.of());
    }

    List<String> details() {
        return details;
    }
}
