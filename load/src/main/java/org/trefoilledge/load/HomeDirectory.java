package org.trefoilledge.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Finds the directory that holds {@code bin/}, {@code samples/} and {@code experiments/}. */
final class HomeDirectory {
    private HomeDirectory() {}

    static Path find() throws IOException {
        String property = System.getProperty("trefoilledge.home");
        Path start = Path.of(property == null ? "" : property).toAbsolutePath();
        for (Path candidate = start; candidate != null; candidate = candidate.getParent()) {
            if (Files.isExecutable(candidate.resolve("bin").resolve("launch"))) {
                return candidate;
            }
        }
        throw new IOException("cannot find bin/launch above " + start + "; start the command through bin/");
    }
}
