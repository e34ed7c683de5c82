package org.trefoilledge.configstore;

import java.net.URI;
import java.util.List;

/**
 * How to reach the store.
 *
 * @param endpoints base addresses of the JSON gateways, such as {@code http://127.0.0.1:2379}, in order of preference
 * @param client names of this client, separated by commas, sent as the header {@value #CLIENT_HEADER}
 * @param callTimeoutMillis time limit for one call over all endpoints, in milliseconds
 */
public record EtcdSettings(List<String> endpoints, String client, long callTimeoutMillis) {
    /** Header that tells the store which client calls. */
    public static final String CLIENT_HEADER = "Trefoilledge-Client";

    /** Time limit for a call unless the settings say otherwise. */
    public static final long DEFAULT_CALL_TIMEOUT_MILLIS = 1_000;

    /** Checks the endpoints and the time limit. */
    public EtcdSettings {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("at least one endpoint of the store is needed");
        }
        endpoints.forEach(EtcdSettings::checkEndpoint);
        if (client == null || !client.matches("[\\x21-\\x7e]{1,200}")) {
            throw new IllegalArgumentException("client must be 1 to 200 visible ASCII characters, but was: " + client);
        }
        if (callTimeoutMillis < 1) {
            throw new IllegalArgumentException("call timeout must be at least 1 ms, but was: " + callTimeoutMillis);
        }
    }

    /** Returns settings with the default time limit. */
    public static EtcdSettings of(List<String> endpoints, String client) {
        return new EtcdSettings(endpoints, client, DEFAULT_CALL_TIMEOUT_MILLIS);
    }

    private static void checkEndpoint(String endpoint) {
        URI uri = URI.create(endpoint);
        boolean plain = uri.getPath() == null || uri.getPath().isEmpty();
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 1 || !plain) {
            throw new IllegalArgumentException(
                    "an endpoint of the store must have the form http://address:port, but was: " + endpoint);
        }
    }
}
