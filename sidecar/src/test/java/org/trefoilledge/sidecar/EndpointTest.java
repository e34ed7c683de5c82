package org.trefoilledge.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilledge.wire.SocketTransport;

class EndpointTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, SocketTransport.ioHandlerFactory());
    private final HttpClient client = HttpClient.newHttpClient();
    private InetSocketAddress address;
    private Endpoint endpoint;

    @BeforeEach
    void setUp() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        endpoint = new Endpoint(address, group, (method, path, body) -> {
            if (path.equals("/broken")) {
                throw new IllegalStateException("unexpected failure");
            }
            return Endpoint.Response.emptyJson(200);
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

    private int status(String path) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri).version(HttpClient.Version.HTTP_1_1).build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
}
