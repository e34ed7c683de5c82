package org.trefoilledge.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreControlTest {
    private final HttpClient http = HttpClient.newHttpClient();
    private StoreStandin standin;

    @BeforeEach
    void start() throws Exception {
        standin = StoreStandin.start();
    }

    @AfterEach
    void stop() {
        standin.close();
    }

    @Test
    void settingsCallChangesOnlyTheGivenFields() throws Exception {
        standin.apply(StoreFaults.NONE.withDelayMillis(7));
        send("PUT", "/.standin/settings", "{\"down\":true,\"blockedClients\":[\"zone-a\"]}");
        assertThat(standin.faults())
                .isEqualTo(StoreFaults.NONE.withDelayMillis(7).withDown(true).withBlockedClients(List.of("zone-a")));
    }

    @Test
    void unknownSettingIsRefused() throws Exception {
        assertThat(send("PUT", "/.standin/settings", "{\"off\":true}").statusCode())
                .isEqualTo(400);
    }

    @Test
    void settingOutsideItsRangeIsRefused() throws Exception {
        assertThat(send("PUT", "/.standin/settings", "{\"loseWriteAnswers\":2}").statusCode())
                .isEqualTo(400);
    }

    /** Guards against a stand-in whose simulated outage cannot be ended because control calls fail too. */
    @Test
    void controlCallsAreAnsweredWhileTheStoreIsDown() throws Exception {
        standin.apply(StoreFaults.NONE.withDown(true));
        assertThat(send("PUT", "/.standin/settings", "{\"down\":false}").statusCode())
                .isEqualTo(200);
    }

    @Test
    void savedContentIsRestored() throws Exception {
        send("POST", "/v3/kv/put", "{\"key\":\"YQ==\",\"value\":\"MQ==\"}");
        send("POST", "/.standin/save", "");
        send("POST", "/v3/kv/put", "{\"key\":\"YQ==\",\"value\":\"Mg==\"}");
        send("POST", "/.standin/restore", "");
        assertThat(send("POST", "/v3/kv/range", "{\"key\":\"YQ==\"}").body()).contains("\"value\":\"MQ==\"");
    }

    @Test
    void callsAreCountedByKind() throws Exception {
        send("POST", "/v3/kv/put", "{\"key\":\"YQ==\",\"value\":\"MQ==\"}");
        assertThat(send("GET", "/.standin/calls", "").body()).isEqualTo("{\"put\":1}");
    }

    @Test
    void unsupportedComparisonIsRefused() throws Exception {
        HttpResponse<String> response = send("POST", "/v3/kv/txn", "{\"compare\":[{\"target\":\"VALUE\"}]}");
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.body()).contains("compares only target MOD");
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(standin.endpoint() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, BodyPublishers.ofString(body))
                .build();
        return http.send(request, BodyHandlers.ofString());
    }
}
