package org.trefoilledge.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP client for the control endpoints of nodes and stand-ins. */
final class ControlClient implements AutoCloseable {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int THREADS = 8;
    /** The list of executions grows with the length of a run. */
    private static final int MAX_RESPONSE_BYTES = 256 * 1024 * 1024;

    private final ObjectMapper mapper = new ObjectMapper();
    private final HttpClient client = new HttpClient();

    ControlClient() throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(THREADS);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.start();
    }

    static boolean isListening(String address) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    CONNECT_TIMEOUT_MILLIS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    JsonNode get(String url) throws IOException {
        return mapper.readTree(send(url, "GET", ""));
    }

    void put(String url, String body) throws IOException {
        send(url, "PUT", body);
    }

    private String send(String url, String method, String body) throws IOException {
        var request = client.newRequest(url).method(method).timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (!body.isEmpty()) {
            request = request.body(new StringRequestContent("application/json", body));
        }
        ContentResponse response = awaitResponse(request, url);
        if (response.getStatus() < 200 || response.getStatus() > 299) {
            throw new IOException(method + " " + url + ": status " + response.getStatus());
        }
        return response.getContentAsString();
    }

    private static ContentResponse awaitResponse(org.eclipse.jetty.client.Request request, String url)
            throws IOException {
        try {
            var listener = new org.eclipse.jetty.client.CompletableResponseListener(request, MAX_RESPONSE_BYTES);
            return listener.send().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(url + ": " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(url + ": interrupted", e);
        }
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }
}
