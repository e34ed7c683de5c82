package org.trefoilledge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.trefoilledge.core.ErrorKind;

/** Guards against a key that reaches an upstream. */
class HeaderFilterTest {
    @Test
    void keyIsRemovedWhateverTheCaseOfItsHeader() {
        assertThat(passed("/a", header("aUTHORIZATION", "Bearer secret-key"))).isEmpty();
    }

    @Test
    void keyRepeatedInAnotherHeaderIsRemoved() {
        assertThat(passed("/a", header("Authorization", "Bearer secret-key"), header("X-Api-Key", "secret-key")))
                .isEmpty();
    }

    @Test
    void keyInTheUrlIsRefused() {
        Answer answer = run("/a?key=secret-key", header("Authorization", "Bearer secret-key"));
        assertThat(answer.refusedWith(ErrorKind.BAD_REQUEST)).isTrue();
    }

    @Test
    void headerNamedByConnectionIsRemoved() {
        assertThat(passed("/a", header("Connection", "close, X-Hop"), header("X-Hop", "1")))
                .isEmpty();
    }

    @Test
    void internalHeaderOfACallerIsRemoved() {
        assertThat(passed("/a", header("trefoilledge-CONTEXT", "forged"))).isEmpty();
    }

    @Test
    void ordinaryHeaderPasses() {
        assertThat(passed("/a", header("Accept", "text/html"))).containsExactly(header("Accept", "text/html"));
    }

    private static List<Answer.Header> passed(String target, Answer.Header... headers) {
        Exchange exchange = exchange(target, headers);
        var unused = new HeaderFilter().apply(exchange, e -> new CompletableFuture<>());
        return exchange.headers();
    }

    private static Answer run(String target, Answer.Header... headers) {
        return new HeaderFilter()
                .apply(exchange(target, headers), e -> new CompletableFuture<>())
                .join();
    }

    private static Exchange exchange(String target, Answer.Header... headers) {
        return new Exchange("GET", target, List.of(headers), new byte[0], Optional.empty(), 0);
    }

    private static Answer.Header header(String name, String value) {
        return new Answer.Header(name, value);
    }
}
