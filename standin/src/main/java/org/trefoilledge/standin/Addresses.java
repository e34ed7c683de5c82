package org.trefoilledge.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses of the form {@code 127.0.0.1:9000} or {@code [::1]:9000}. */
final class Addresses {
    private Addresses() {}

    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, Math.max(0, colon));
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:]+]") || port < 0 || port > 65_535) {
                throw new IllegalArgumentException(errorMessage(text));
            }
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException(errorMessage(text), e);
        }
    }

    private static String errorMessage(String text) {
        return "expected an IP address with a port, such as 127.0.0.1:9000, but was: " + text;
    }
}
