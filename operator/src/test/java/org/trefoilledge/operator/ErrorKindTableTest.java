package org.trefoilledge.operator;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;

/** Guards the table of error kinds, on which callers rely, against unnoticed changes. */
class ErrorKindTableTest {
    @Test
    void tableOfErrorKinds() {
        Approvals.verify(Arrays.stream(ErrorKind.values())
                .map(kind -> "| %s | %d | %s | %s | %s |"
                        .formatted(
                                kind,
                                kind.status(),
                                kind.ran().text(),
                                kind.retryAdvice().text(),
                                kind.message()))
                .collect(Collectors.joining(
                        "\n", "| kind | status | ran | retry | message |\n|---|---|---|---|---|\n", "\n")));
    }
}
