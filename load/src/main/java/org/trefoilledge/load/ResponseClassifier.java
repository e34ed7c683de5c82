package org.trefoilledge.load;

import java.util.Optional;
import java.util.function.Predicate;
import org.trefoilledge.core.ErrorKind;

/** Classifies the responses to attempts and decides whether they may be retried. */
final class ResponseClassifier {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final long MILLIS_PER_SECOND = 1_000;

    private ResponseClassifier() {}

    /**
     * Classifies a complete response.
     *
     * @param kind value of the header {@code Trefoilledge-Kind}, null if absent
     * @param retryAfter value of the header {@code Retry-After} in seconds, null if absent
     * @param echo decides whether the body is the expected one
     */
    static AttemptResult classify(int status, String kind, String retryAfter, String body, Predicate<String> echo) {
        Optional<ErrorKind> refusal = parseErrorKind(kind);
        if (refusal.isPresent()) {
            return AttemptResult.refused(refusal.get(), status, retryAfterMillis(retryAfter, body));
        }
        if (status < 200 || status > 299) {
            return AttemptResult.of(AttemptResult.Outcome.STATUS, status);
        }
        return echo.test(body) ? AttemptResult.WHOLE : AttemptResult.of(AttemptResult.Outcome.WRONG_BODY, status);
    }

    private static Optional<ErrorKind> parseErrorKind(String text) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(ErrorKind.valueOf(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** The body states the delay in milliseconds; the header only in whole seconds. */
    private static long retryAfterMillis(String header, String body) {
        String key = "\"retryAfterMs\":";
        int start = body.indexOf(key);
        if (start >= 0) {
            int first = start + key.length();
            while (first < body.length() && body.charAt(first) == ' ') {
                first++;
            }
            int end = first;
            while (end < body.length() && Character.isDigit(body.charAt(end))) {
                end++;
            }
            return parseOrDefault(body.substring(first, end), 0);
        }
        return header == null ? 0 : parseOrDefault(header.trim(), 0) * MILLIS_PER_SECOND;
    }

    private static long parseOrDefault(String digits, long otherwise) {
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    /**
     * Returns whether a caller may retry the request. A request that may have run is retried only if it is a read or
     * carries an idempotency key.
     *
     * @param safe whether a second execution does no harm or is prevented by an idempotency key
     * @param followsAdvice whether the caller follows the retry advice of refusals
     */
    static boolean mayRetry(AttemptResult result, boolean safe, boolean followsAdvice) {
        if (result.whole() || result.outcome() == AttemptResult.Outcome.NOT_SENT) {
            return false;
        }
        boolean callersFault = result.status() >= 400 && result.status() < 500;
        if (callersFault && result.status() != TOO_MANY_REQUESTS) {
            return false;
        }
        if (result.refusal().isEmpty()) {
            return safe;
        }
        return switch (result.refusal().get().retryAdvice()) {
            case NEVER -> !followsAdvice && safe;
            case NOW, LATER -> true;
            case SAME_ID, IDEMPOTENT_ONLY -> safe;
        };
    }
}
