package org.trefoilledge.core;

import java.util.regex.Pattern;

/** Checks names that come from operators, settings or peers. */
final class Names {
    private static final Pattern VALID = Pattern.compile("[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?");

    private Names() {}

    static void check(String what, String value) {
        if (value == null || !VALID.matcher(value).matches()) {
            throw new IllegalArgumentException(what + " must be 1 to 64 lower-case letters, digits, dots and hyphens,"
                    + " starting and ending with a letter or digit, but was: " + value);
        }
    }
}
