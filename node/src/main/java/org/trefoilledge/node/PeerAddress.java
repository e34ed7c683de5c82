package org.trefoilledge.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and prints addresses that consist of an IP address and a port. */
final class PeerAddress {
    private PeerAddress() {}

    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected an IP address and port, but found: " + text);
        }
        String host = text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException("expected an IP address and port, but found: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        try {
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("expected an IP address, but found: " + host, e);
        }
    }

    static String print(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }
}
