package org.trefoilledge.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.core.config.KeyDigest;

/** Reads the digest of a key from a file with the key on its only line. Error messages never show the content. */
final class KeyFile {
    private static final long MAX_BYTES = 4_096;

    /** The characters of a bearer token; a shorter key could be guessed. */
    private static final Pattern KEY = Pattern.compile("[A-Za-z0-9._~+/=-]{16,512}");

    private KeyFile() {}

    static KeyDigest digest(Path file) throws SettingsException {
        String key = read(file).strip();
        if (!KEY.matcher(key).matches()) {
            throw new SettingsException(file.getFileName() + ":1:1: expected one line with a key of 16 to 512 letters,"
                    + " digits and characters of ._~+/=-");
        }
        return KeyDigest.of(key);
    }

    private static String read(Path file) throws SettingsException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new SettingsException(
                        file.getFileName() + ":1:1: expected a key, but the file has over " + MAX_BYTES + " bytes");
            }
            return Files.readString(file, StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot read the file: " + e.getMessage());
        }
    }
}
