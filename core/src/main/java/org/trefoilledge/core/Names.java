package org.trefoilledge.core;

/** Validates names received from operators, settings or peers. */
final class Names {
    private static final int MAX_LENGTH = 64;

    private Names() {}

    static void check(String kind, String value) {
        if (value == null || !isValid(value)) {
            throw new IllegalArgumentException(kind + " must be 1 to 64 lower-case letters, digits, dots and hyphens,"
                    + " starting and ending with a letter or digit, but was: " + value);
        }
    }

    /** Loops over the characters instead of matching a pattern, because ids are created for every request. */
    private static boolean isValid(String value) {
        int length = value.length();
        if (length == 0
                || length > MAX_LENGTH
                || !isLetterOrDigit(value.charAt(0))
                || !isLetterOrDigit(value.charAt(length - 1))) {
            return false;
        }
        for (int i = 1; i < length - 1; i++) {
            char c = value.charAt(i);
            if (!isLetterOrDigit(c) && c != '.' && c != '-') {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetterOrDigit(char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
    }
}
