package org.trefoilledge.node;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.Ran;

/**
 * The end of a request: an upstream's whole response, or a refusal.
 *
 * @param refusal empty if an upstream responded
 * @param unusedBudget extra attempts that the call tree below did not use
 * @param admissionLevel highest admission level of the call tree below
 */
record Answer(
        int status,
        List<Header> headers,
        Body body,
        Optional<Refusal> refusal,
        int unusedBudget,
        int admissionLevel,
        String upstream) {

    record Refusal(ErrorKind kind, long retryAfterMillis, String reason) {}

    static Answer response(int status, List<Header> headers, byte[] body, String upstream) {
        return new Answer(status, List.copyOf(headers), new Body(body), Optional.empty(), 0, 0, upstream);
    }

    static Answer refused(ErrorKind kind, long retryAfterMillis, String reason) {
        return new Answer(
                kind.status(),
                List.of(),
                Body.EMPTY,
                Optional.of(new Refusal(kind, Math.max(0, retryAfterMillis), reason)),
                0,
                0,
                "");
    }

    static Answer refused(ErrorKind kind, String reason) {
        return refused(kind, 0, reason);
    }

    Answer withBudget(int unused) {
        return new Answer(status, headers, body, refusal, unused, admissionLevel, upstream);
    }

    Answer withAdmissionLevel(int level) {
        return new Answer(status, headers, body, refusal, unusedBudget, level, upstream);
    }

    boolean refusedWith(ErrorKind kind) {
        return refusal.isPresent() && refusal.get().kind() == kind;
    }

    /** Returns whether it is certain that no upstream executed the request. */
    boolean notRun() {
        return refusal.isPresent() && refusal.get().kind().ran() == Ran.NO;
    }

    /** A header field. */
    record Header(String name, String value) {}

    /** Bytes of a body, which nobody changes after creation. */
    static final class Body {
        static final Body EMPTY = new Body(new byte[0]);

        private final byte[] bytes;

        Body(byte[] bytes) {
            this.bytes = bytes;
        }

        byte[] bytes() {
            return bytes;
        }

        @Override
        public String toString() {
            return new String(bytes, StandardCharsets.UTF_8);
        }
    }
}
