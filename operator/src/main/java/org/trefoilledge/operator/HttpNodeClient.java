package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.trefoilledge.core.config.ConfigCodec;

/** Asks nodes over HTTP. The client starts with the first request. */
final class HttpNodeClient implements NodeClient, AutoCloseable {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final int OK = 200;

    private HttpClient client;

    @Override
    public JsonNode get(NodeAddress node, String pathAndQuery) throws IOException, InterruptedException {
        try {
            ContentResponse response = started()
                    .newRequest("http://" + node + pathAndQuery)
                    .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .send();
            if (response.getStatus() != OK) {
                throw new IOException("HTTP status " + response.getStatus());
            }
            return ConfigCodec.json().readTree(response.getContent());
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause().getMessage()), e);
        } catch (TimeoutException e) {
            throw new IOException("no answer within " + TIMEOUT_MILLIS + " ms", e);
        }
    }

    private HttpClient started() throws IOException {
        if (client == null) {
            HttpClient starting = new HttpClient();
            starting.setConnectTimeout(TIMEOUT_MILLIS);
            starting.setFollowRedirects(false);
            try {
                starting.start();
            } catch (Exception e) {
                throw new IOException("cannot start the HTTP client: " + e.getMessage(), e);
            }
            client = starting;
        }
        return client;
    }

    @Override
    public void close() throws Exception {
        if (client != null) {
            client.stop();
        }
    }
}
