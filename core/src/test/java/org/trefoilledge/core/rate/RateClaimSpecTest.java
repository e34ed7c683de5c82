package org.trefoilledge.core.rate;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.trefoilledge.core.ModelChecker;

/** Checks {@code spec/RateClaim.tla}: two hosts, expired leases, lost and late responses, pauses, planned shutdown. */
class RateClaimSpecTest {
    @TempDir
    private Path directory;

    @Test
    void onlyTheHolderOfAClaimGrantsTokens() throws Exception {
        checker().assertInvariantsHold("two hosts", allRules());
    }

    /** Guards against rules that are redundant or that the model does not check. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "CheckBeforeGrant",
                "CountFromSending",
                "CountSuspension",
                "ClaimOfThisLease",
                "StopBeforeRemoval",
                "WriteIfAbsent"
            })
    void twoHostsGrantTokensWithoutThisRule(String rule) throws Exception {
        checker().assertViolatedWithout(rule, allRules());
    }

    private ModelChecker checker() {
        return new ModelChecker("RateClaim", "OnlyTheHolderGives", directory);
    }

    private static Map<String, String> allRules() {
        Map<String, String> constants = new LinkedHashMap<>(Map.of("A", "a", "B", "b", "L", "2", "MaxLeases", "2"));
        for (String rule : List.of(
                "CheckBeforeGrant",
                "CountFromSending",
                "CountSuspension",
                "ClaimOfThisLease",
                "StopBeforeRemoval",
                "WriteIfAbsent")) {
            constants.put(rule, "TRUE");
        }
        return constants;
    }
}
