package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.wire.SocketTransport;

class EndpointTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final HttpClient client = HttpClient.newHttpClient();
    private final CompletableFuture<Endpoint.Response> later = new CompletableFuture<>();
    private InetSocketAddress address;
    private Endpoint endpoint;

    @BeforeEach
    void setUp() throws Exception {
        address = FreePorts.nextAddress();
        endpoint = new Endpoint(address, group, (method, path, body) -> {
            if (path.equals("/broken")) {
                throw new IllegalStateException("unexpected failure");
            }
            return path.equals("/later") ? later : CompletableFuture.completedFuture(Endpoint.Response.emptyJson(200));
        });
    }

    @AfterEach
    void tearDown() {
        endpoint.close();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
    }

    @Test
    void handlerExceptionReturns500AndNextRequestSucceeds() throws Exception {
        assertThat(status("/broken")).isEqualTo(500);
        assertThat(status("/ok")).isEqualTo(200);
    }

    @Test
    void responsesAreWrittenInTheOrderOfTheRequests() throws Exception {
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            String request = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n";
            caller.getOutputStream()
                    .write((request.formatted("later") + request.formatted("ok")).getBytes(StandardCharsets.US_ASCII));
            caller.setSoTimeout(300);
            assertThatThrownBy(() -> caller.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
            later.complete(Endpoint.Response.emptyJson(503));
            caller.setSoTimeout(2_000);
            String responses = "";
            while (!responses.contains("200 OK")) {
                responses += new String(caller.getInputStream().readNBytes(1), StandardCharsets.US_ASCII);
            }

            assertThat(responses).startsWith("HTTP/1.1 503");
        }
    }

    private int status(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
}
