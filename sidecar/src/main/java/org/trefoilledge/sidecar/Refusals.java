package org.trefoilledge.sidecar;

import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.Ran;
import org.trefoilledge.wire.generated.CallAnswer;

/** Creates and inspects refusals, the error answers that the sidecar generates in place of an upstream. */
final class Refusals {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_FINAL_STATUS = 599;

    private Refusals() {}

    /** Returns whether a response with the status ends its request. */
    static boolean isFinalStatus(int status) {
        return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
    }

    /** Creates a refusal without a retry delay. */
    static CallAnswer refusal(ErrorKind kind, String reason) {
        return refusal(kind, 0, reason);
    }

    /** Creates a refusal. A positive {@code retryAfterMillis} tells the caller when to retry; 0 gives no advice. */
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

    /** Returns whether the answer guarantees that the request has not run. */
    static boolean isNotRun(CallAnswer answer) {
        return isRefusal(answer) && ErrorKind.valueOf(answer.getRefusal()).ran() == Ran.NO;
    }
}
