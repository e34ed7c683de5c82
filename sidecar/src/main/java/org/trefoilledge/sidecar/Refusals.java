package org.trefoilledge.sidecar;

import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.Ran;
import org.trefoilledge.wire.generated.CallAnswer;

/** Answers that the sidecar gives in place of an upstream. */
final class Refusals {
    private Refusals() {}

    static CallAnswer refusal(ErrorKind kind, String reason) {
        return refusal(kind, 0, reason);
    }

    /** Returns a refusal; a positive time tells the caller when to come back. */
    static CallAnswer refusal(ErrorKind kind, long retryAfterMillis, String reason) {
        return CallAnswer.newBuilder()
                .setStatus(kind.status())
                .setRefusal(kind.name())
                .setRefusalReason(reason)
                .setRetryAfterMillis((int) retryAfterMillis)
                .build();
    }

    static boolean isRefusal(CallAnswer answer) {
        return !answer.getRefusal().isEmpty();
    }

    static boolean isRefusal(CallAnswer answer, ErrorKind kind) {
        return answer.getRefusal().equals(kind.name());
    }

    /** Returns whether it is certain that the request has not run. */
    static boolean isNotRun(CallAnswer answer) {
        return isRefusal(answer) && ErrorKind.valueOf(answer.getRefusal()).ran() == Ran.NO;
    }
}
