package org.trefoilledge.core.authority;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks {@code spec/Authority.tla} with TLC in a JVM of its own, because TLC ends its JVM. */
class AuthoritySpecTest {
    private static final Path SPEC = Path.of("..", "spec", "Authority.tla");
    private static final Pattern DISTINCT = Pattern.compile("(\\d+) distinct states found, (\\d+) states left");
    private static final long TIMEOUT_SECONDS = 120;

    @TempDir
    private Path directory;

    /** Guards against a protocol in which a removal, with a restart of a voter, leaves two owners. */
    @Test
    void removalWithARestartIsSafe() throws Exception {
        assertSafe("removal with a restart", base());
    }

    /** Guards against a protocol in which removals of two members and a transfer at once leave two owners. */
    @Test
    void concurrentChangesAreSafe() throws Exception {
        Map<String, String> constants = twoChanges();
        constants.put("Transfers", "TRUE");
        assertSafe("two removals and a transfer", constants);
    }

    /** Guards against members that run the removal of the same member at the same time. */
    @Test
    void racingRemoversAreSafe() throws Exception {
        Map<String, String> constants = base();
        constants.put("Removers", "{b, c}");
        constants.put("MaxRestarts", "0");
        assertSafe("two removers", constants);
    }

    /** Guards against rules that the model does not need, or whose absence it cannot see. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "CheckBeforeAction",
                "GenerationCheck",
                "RemovingStopsRenewal",
                "CountFromSending",
                "MajorityAdoption",
                "NoRunningPromise",
                "LateAfterPromise",
                "WaitAfterMark",
                "WaitAfterRestart",
                "LearnBeforeVote"
            })
    void removalWithoutThisRuleIsUnsafe(String rule) throws Exception {
        assertUnsafe(rule, base());
    }

    /** Guards against a majority that is counted as if an unfinished change had taken place. */
    @Test
    void removalsThatDoNotCountEachOthersSeatsAreUnsafe() throws Exception {
        assertUnsafe("OneChangeAtATime", twoChanges());
    }

    /** Guards against owners that act on while their shard is being transferred. */
    @ParameterizedTest
    @ValueSource(strings = {"GiveUpBeforeTransfer", "ReadAfterLostResponse"})
    void transferWithoutThisRuleIsUnsafe(String rule) throws Exception {
        Map<String, String> constants = base();
        constants.put("MaxRestarts", "0");
        constants.put("Transfers", "TRUE");
        assertUnsafe(rule, constants);
    }

    private void assertSafe(String name, Map<String, String> constants) throws Exception {
        String output = check(constants);
        Matcher states = states(output);
        System.out.println("Authority.tla, " + name + ": " + states.group(1) + " distinct states, safe");
        assertThat(output).contains("No error has been found");
        assertThat(states.group(2)).as("states left").isEqualTo("0");
    }

    private void assertUnsafe(String rule, Map<String, String> constants) throws Exception {
        assertThat(constants.put(rule, "FALSE")).as(rule).isEqualTo("TRUE");
        String output = check(constants);
        assertThat(output).containsPattern("Invariant (NoTwoOwners|NoLateDispatch) is violated");
        String invariant = output.replaceAll("(?s).*Invariant (\\w+) is violated.*", "$1");
        System.out.println("Authority.tla without " + rule + ": " + invariant + " violated after "
                + states(output).group(1) + " distinct states");
    }

    private static Matcher states(String output) {
        Matcher matcher = DISTINCT.matcher(output);
        assertThat(matcher.find()).as(output).isTrue();
        int last = matcher.start();
        while (matcher.find()) {
            last = matcher.start();
        }
        assertThat(matcher.find(last)).isTrue();
        return matcher;
    }

    private static Map<String, String> base() {
        Map<String, String> constants = new LinkedHashMap<>(
                Map.of("A", "a", "B", "b", "C", "c", "L", "1", "H", "1", "MaxVersion", "3", "MaxRestarts", "1"));
        constants.putAll(Map.of("Transfers", "FALSE", "Removers", "{c}", "Subjects", "{a}"));
        for (String rule : List.of(
                "CheckBeforeAction",
                "GenerationCheck",
                "RemovingStopsRenewal",
                "CountFromSending",
                "MajorityAdoption",
                "SecondRound",
                "NoRunningPromise",
                "LateAfterPromise",
                "WaitAfterMark",
                "WaitAfterRestart",
                "LearnBeforeVote",
                "OneChangeAtATime",
                "GiveUpBeforeTransfer",
                "ReadAfterLostResponse")) {
            constants.put(rule, "TRUE");
        }
        return constants;
    }

    private static Map<String, String> twoChanges() {
        Map<String, String> constants = base();
        constants.put("MaxRestarts", "0");
        constants.put("MaxVersion", "4");
        constants.put("Subjects", "{a, b}");
        return constants;
    }

    private String check(Map<String, String> constants) throws IOException, InterruptedException {
        Files.copy(SPEC, directory.resolve("Authority.tla"));
        StringBuilder config = new StringBuilder(
                "INIT Init\nNEXT Next\nINVARIANTS NoTwoOwners NoLateDispatch\nCHECK_DEADLOCK FALSE\nCONSTANTS\n");
        constants.forEach(
                (name, value) -> config.append(name).append(" = ").append(value).append('\n'));
        Files.writeString(directory.resolve("Authority.cfg"), config);
        return run();
    }

    private String run() throws IOException, InterruptedException {
        Path output = directory.resolve("output.txt");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseParallelGC",
                        "-Xmx1g",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "tlc2.TLC",
                        "-workers",
                        "4",
                        "-config",
                        "Authority.cfg",
                        "Authority.tla")
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
