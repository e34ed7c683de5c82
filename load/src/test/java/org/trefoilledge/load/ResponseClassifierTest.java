package org.trefoilledge.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;

class ResponseClassifierTest {
    private static AttemptResult answer(String body) {
        return ResponseClassifier.classify(
                200,
                null,
                null,
                body,
                text -> RequestEcho.matches(RequestEcho.DEFAULT, text, "/a?id=0000000002", 2, 5));
    }

    /** Guards against counting an answer to another request as goodput. */
    @Test
    void answerToAnotherRequestIsNotWhole() {
        AttemptResult result = answer("{\"path\":\"/a\",\"requestId\":\"0000000001\",\"bodyBytes\":5}");
        assertThat(result.outcome()).isEqualTo(AttemptResult.Outcome.WRONG_BODY);
    }

    /** Guards against counting an answer whose end is missing. */
    @Test
    void truncatedAnswerIsNotWhole() {
        assertThat(answer("{\"path\":\"/a\",\"requestId\":\"0000000002\",\"bodyBytes\":5")
                        .whole())
                .isFalse();
    }

    @Test
    void answerWithTheExpectedEchoIsWhole() {
        assertThat(answer("{\"path\":\"/a\",\"requestId\":\"0000000002\",\"bodyBytes\":5}")
                        .whole())
                .isTrue();
    }

    /** Guards against an upstream's own 429 being counted as a refusal of the rate limit. */
    @Test
    void statusWithoutAKindIsNotARefusal() {
        AttemptResult result = ResponseClassifier.classify(429, null, null, "", text -> true);
        assertThat(result.label()).isEqualTo("status-429");
        assertThat(result.is(ErrorKind.RATE_LIMITED)).isFalse();
    }

    @Test
    void refusalKeepsTheDelayOfItsBodyInMilliseconds() {
        AttemptResult result =
                ResponseClassifier.classify(429, "RATE_LIMITED", "1", "{\"retryAfterMs\": 130}", text -> true);
        assertThat(result).isEqualTo(AttemptResult.refused(ErrorKind.RATE_LIMITED, 429, 130));
    }

    @Test
    void refusalWithoutADelayInItsBodyUsesTheHeaderInSeconds() {
        assertThat(ResponseClassifier.classify(503, "OVERLOADED", "2", "{}", text -> true)
                        .retryAfterMillis())
                .isEqualTo(2_000);
    }

    /** Guards against the load tool itself executing a non-idempotent request twice. */
    @Test
    void requestThatMayHaveRunIsRetriedOnlyIfSafe() {
        AttemptResult failed = AttemptResult.refused(ErrorKind.UPSTREAM_FAILED, 502, 0);
        assertThat(ResponseClassifier.mayRetry(failed, false, false)).isFalse();
        assertThat(ResponseClassifier.mayRetry(failed, true, true)).isTrue();
        assertThat(ResponseClassifier.mayRetry(AttemptResult.TIMEOUT, false, false))
                .isFalse();
    }

    @Test
    void nonRetryableRefusalIsRetriedOnlyIfAdviceIsIgnored() {
        AttemptResult late = AttemptResult.refused(ErrorKind.DEADLINE_EXCEEDED, 504, 0);
        assertThat(ResponseClassifier.mayRetry(late, true, true)).isFalse();
        assertThat(ResponseClassifier.mayRetry(late, true, false)).isTrue();
    }

    @Test
    void clientErrorIsNotRetried() {
        assertThat(ResponseClassifier.mayRetry(AttemptResult.refused(ErrorKind.KEY_UNKNOWN, 401, 0), true, false))
                .isFalse();
    }

    /** Guards against an id that is the beginning of another one, which would let a wrong answer pass. */
    @Test
    void noIdIsAPrefixOfAnother() {
        assertThat(RequestEcho.id(12)).doesNotStartWith(RequestEcho.id(1));
        assertThat(RequestEcho.withId("/a?x=1", 12)).isEqualTo("/a?x=1&id=0000000012");
    }
}
