package org.trefoilledge.core.authority;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.ModelChecker;

/** Runs the model checker on {@code spec/Authority.tla}, with all rules and with single rules switched off. */
class AuthoritySpecTest {
    @TempDir
    private Path directory;

    /** Guards against a protocol in which a removal, with a restart of a voter, leaves two owners. */
    @Test
    void removalWithARestartIsSafe() throws Exception {
        assertSafe("removal with a restart", base());
    }

    /** Guards against a protocol in which concurrent removals of two members and a transfer leave two owners. */
    @Test
    void concurrentChangesAreSafe() throws Exception {
        Map<String, String> constants = twoChanges();
        constants.put("Transfers", "TRUE");
        assertSafe("two removals and a transfer", constants);
    }

    /** Guards against two owners after two members remove the same member concurrently. */
    @Test
    void racingRemoversAreSafe() throws Exception {
        Map<String, String> constants = base();
        constants.put("Removers", "{b, c}");
        constants.put("MaxRestarts", "0");
        assertSafe("two removers", constants);
    }

    /** Guards against rules that the model does not need, or whose absence it does not detect. */
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

    /** Guards against owners that continue to act for a shard while it is being transferred. */
    @ParameterizedTest
    @ValueSource(strings = {"GiveUpBeforeTransfer", "ReadAfterLostResponse"})
    void transferWithoutThisRuleIsUnsafe(String rule) throws Exception {
        Map<String, String> constants = base();
        constants.put("MaxRestarts", "0");
        constants.put("Transfers", "TRUE");
        assertUnsafe(rule, constants);
    }

    private void assertSafe(String name, Map<String, String> constants) throws Exception {
        checker().assertInvariantsHold(name, constants);
    }

    private void assertUnsafe(String rule, Map<String, String> constants) throws Exception {
        checker().assertViolatedWithout(rule, constants);
    }

    private ModelChecker checker() {
        return new ModelChecker("Authority", "NoTwoOwners NoLateDispatch", directory);
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
}
