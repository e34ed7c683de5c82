package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.trefoilledge.sidecar.TestFleet.ORDERS;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Asks a running sidecar over its operators' address. */
class ExplainEndpointTest {
    private final TestFleet fleet = new TestFleet(1_000);
    private TestFleet.Host host;

    @BeforeEach
    void startFleet() throws Exception {
        fleet.writeConfig("1 secret-key-1");
        host = fleet.start("host-1", ORDERS);
        host.announce(1, "ready");
        host.awaitStatus("/orders/1", "secret-key-1", 200);
    }

    @AfterEach
    void stopFleet() throws IOException {
        fleet.close();
    }

    private HttpResponse<String> ask(String requestHost, String path, String key) throws Exception {
        String body = "{\"method\":\"GET\",\"host\":\"" + requestHost + "\",\"path\":\"" + path + "\",\"key\":\"" + key
                + "\"}";
        return host.askOperators("POST", "/explain", body);
    }

    /** Guards against explanations that send a request or change the figures of the next one. */
    @Test
    void explainingSendsNothingAndIsRepeatable() throws Exception {
        int requests = host.upstream().requestHeads().size();
        HttpResponse<String> first = ask("127.0.0.1:80", "/orders/1?q=2", "secret-key-1");
        for (int i = 0; i < 20; i++) {
            assertThat(ask("127.0.0.1:80", "/orders/1?q=2", "secret-key-1").statusCode())
                    .isEqualTo(200);
        }

        assertThat(first.statusCode()).isEqualTo(200);
        assertThat(first.body()).contains("\"verdict\":\"sent to the one upstream marked +\"");
        assertThat(first.body()).contains("\"host\":\"host-1\"").doesNotContain("secret-key-1");
        assertThat(host.upstream().requestHeads()).hasSize(requests);
        assertThat(host.askOperators("GET", "/metrics", "").body())
                .contains("trefoilledge_explanations_total 21.0")
                .contains("trefoilledge_answers_total{outcome=\"UPSTREAM_2XX\"} 1.0");
    }

    @Test
    void unknownKeyHostAndPathAreNotFound() throws Exception {
        for (HttpResponse<String> answer : List.of(
                ask("127.0.0.1", "/orders/1", "secret-key-2"),
                ask("127.0.0.2", "/orders/1", "secret-key-1"),
                ask("127.0.0.1", "/other/1", "secret-key-1"))) {
            assertThat(answer.statusCode()).isEqualTo(404);
            assertThat(answer.body()).startsWith("{\"error\":\"version 1 ").doesNotContain("secret-key");
        }
    }

    @Test
    void malformedQuestionIsRefusedWithoutQuotingIt() throws Exception {
        HttpResponse<String> answer = host.askOperators("POST", "/explain", "{\"key\":\"secret-key-1\",");

        assertThat(answer.statusCode()).isEqualTo(400);
        assertThat(answer.body()).isEqualTo("{\"error\":\"the body is not valid JSON\"}");
        assertThat(host.askOperators("POST", "/explain", "{}").statusCode()).isEqualTo(400);
        assertThat(host.askOperators("POST", "/explain", "").statusCode()).isEqualTo(400);
        assertThat(host.askOperators("PUT", "/explain", "").statusCode()).isEqualTo(405);
    }
}
