package org.trefoilledge.scenarios;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gives each host of each scenario its own address in 127.0.0.0/8. Fixed ports on own addresses never meet the ports
 * that the system hands out to other tests.
 */
final class Loopback {
    static final int CALLERS_PORT = 8080;
    static final int LOCAL_PORT = 8081;
    static final int PEERS_PORT = 8082;
    static final int OPERATORS_PORT = 8083;
    static final int UPSTREAM_PORT = 8084;
    static final int STORE_PORT = 2379;

    private static final int OCTET_VALUES = 250;
    /** Keeps test runs apart that are active on one machine at the same time. */
    private static final long RUN = 2 + ProcessHandle.current().pid() % OCTET_VALUES;

    private static final AtomicInteger DEPLOYMENTS = new AtomicInteger();

    private final int deployment = 1 + DEPLOYMENTS.getAndIncrement() % OCTET_VALUES;

    /** Returns the IP address of a host, by its number from 1. */
    String address(int host) {
        return "127." + RUN + "." + deployment + "." + host;
    }
}
