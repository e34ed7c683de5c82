package org.trefoilledge.core;

import java.util.regex.Pattern;

/** A caller's idempotency key, scoped to its organisation: equal keys of two organisations identify two requests. */
public record RequestId(OrganisationId organisation, String key) {
    private static final Pattern VALID_KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");

    /** Checks that the key has 1 to 128 visible ASCII characters. */
    public RequestId {
        if (organisation == null) {
            throw new IllegalArgumentException("a request id needs an organisation");
        }
        if (key == null || !VALID_KEY.matcher(key).matches()) {
            throw new IllegalArgumentException("Idempotency-Key must be 1 to 128 visible ASCII characters");
        }
    }
}
