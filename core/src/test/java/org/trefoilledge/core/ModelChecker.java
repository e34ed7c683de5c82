package org.trefoilledge.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Runs the TLC model checker on a module of {@code spec/} in a separate JVM, because TLC exits its JVM. */
public final class ModelChecker {
    private static final Path SPEC_DIRECTORY = Path.of("..", "spec");
    private static final Pattern STATE_COUNTS = Pattern.compile("(\\d+) distinct states found, (\\d+) states left");
    private static final long TIMEOUT_SECONDS = 120;

    private final String module;
    private final String invariants;
    private final Path directory;

    /**
     * Creates a checker of one module.
     *
     * @param module name of the TLA+ module
     * @param invariants names of the invariants, separated by spaces
     * @param directory empty working directory of TLC
     */
    public ModelChecker(String module, String invariants, Path directory) {
        this.module = module;
        this.invariants = invariants;
        this.directory = directory;
    }

    /** Asserts that the invariants hold in all reachable states of the model with the given constants. */
    public void assertInvariantsHold(String name, Map<String, String> constants)
            throws IOException, InterruptedException {
        String output = checkModel(constants);
        Matcher states = finalStateCounts(output);
        System.out.println(module + ".tla, " + name + ": " + states.group(1) + " distinct states, safe");
        assertThat(output).contains("No error has been found");
        assertThat(states.group(2)).as("states left").isEqualTo("0");
    }

    /** Asserts that an invariant is violated if a rule, a constant with the value TRUE, is set to FALSE. */
    public void assertViolatedWithout(String rule, Map<String, String> constants)
            throws IOException, InterruptedException {
        assertThat(constants.put(rule, "FALSE")).as(rule).isEqualTo("TRUE");
        String output = checkModel(constants);
        assertThat(output).containsPattern("Invariant (" + invariants.replace(' ', '|') + ") is violated");
        String invariant = output.replaceAll("(?s).*Invariant (\\w+) is violated.*", "$1");
        System.out.println(module + ".tla without " + rule + ": " + invariant + " violated after "
                + finalStateCounts(output).group(1) + " distinct states");
    }

    /** Matches the last state counts in the output; earlier ones report progress. */
    private static Matcher finalStateCounts(String output) {
        Matcher matcher = STATE_COUNTS.matcher(output);
        assertThat(matcher.find()).as(output).isTrue();
        int last = matcher.start();
        while (matcher.find()) {
            last = matcher.start();
        }
        assertThat(matcher.find(last)).isTrue();
        return matcher;
    }

    private String checkModel(Map<String, String> constants) throws IOException, InterruptedException {
        Files.copy(SPEC_DIRECTORY.resolve(module + ".tla"), directory.resolve(module + ".tla"));
        StringBuilder config = new StringBuilder(
                "INIT Init\nNEXT Next\nINVARIANTS " + invariants + "\nCHECK_DEADLOCK FALSE\nCONSTANTS\n");
        constants.forEach(
                (name, value) -> config.append(name).append(" = ").append(value).append('\n'));
        Files.writeString(directory.resolve(module + ".cfg"), config);
        return runTlc();
    }

    private String runTlc() throws IOException, InterruptedException {
        Path output = directory.resolve("output.txt");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseParallelGC",
                        "-Xmx1g",
                        // TLC unpacks its standard modules there and deletes them; a concurrent run needs its own copy.
                        "-Djava.io.tmpdir=" + directory.toAbsolutePath(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "tlc2.TLC",
                        "-workers",
                        "4",
                        "-config",
                        module + ".cfg",
                        module + ".tla")
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        return Files.readString(output);
    }
}
