package org.trefoilledge.load;

/** Assigns loopback ports: the base port to the store, then a range of ten ports to each host. */
record PortPlan(int base) {
    private static final String LOOPBACK = "127.0.0.1:";
    private static final int PORTS_PER_HOST = 10;

    PortPlan {
        if (base < 1024 || base > 64_000) {
            throw new IllegalArgumentException("the base port must be from 1024 to 64000, but was: " + base);
        }
    }

    String store() {
        return LOOPBACK + base;
    }

    String callers(int host) {
        return address(host, 1);
    }

    String local(int host) {
        return address(host, 2);
    }

    String peers(int host) {
        return address(host, 3);
    }

    String operators(int host) {
        return address(host, 4);
    }

    String upstream(int host) {
        return address(host, 5);
    }

    private String address(int host, int offset) {
        return LOOPBACK + (base + PORTS_PER_HOST * host + offset);
    }
}
