package org.trefoilledge.wire;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses addresses such as {@code 127.0.0.1:8082} and {@code [::1]:8082}. Host names are not resolved. */
public final class PeerAddress {
    private static final int MAX_PORT = 65_535;

    private PeerAddress() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if the text is not an IP address and a port
     */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
        if (ip == null) {
            throw invalid(address);
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                throw invalid(address);
            }
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (NumberFormatException | UnknownHostException e) {
            throw invalid(address);
        }
    }

    private static IllegalArgumentException invalid(String address) {
        return new IllegalArgumentException("an address must be an IP address and a port, but was: " + address);
    }
}
