package org.trefoilledge.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/** The SHA-256 digest of a caller's key, in lower-case hexadecimal. Keys themselves are never stored. */
public record KeyDigest(String hex) {
    private static final Pattern VALID = Pattern.compile("[0-9a-f]{64}");

    /** Checks that the value has 64 hexadecimal digits. */
    public KeyDigest {
        if (hex == null || !VALID.matcher(hex).matches()) {
            throw new IllegalArgumentException("a key digest must have 64 lower-case hexadecimal digits");
        }
    }

    /** Returns the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return new KeyDigest(HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8))));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    /** Returns the first eight digits, for logs and listings. */
    public String abbreviated() {
        return hex.substring(0, 8);
    }

    @Override
    public String toString() {
        return hex;
    }
}
