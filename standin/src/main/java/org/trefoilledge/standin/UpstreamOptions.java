package org.trefoilledge.standin;

import java.util.List;

/**
 * Options of a stand-in upstream, fixed at its start.
 *
 * @param listen IP address and port; port 0 selects a free port
 * @param node local address of the node on the same host, or empty to disable announcements
 * @param host announced host
 * @param service announced service
 * @param slots maximum number of concurrent executions
 * @param connections maximum number of open connections
 * @param queue maximum number of requests that wait for a slot; further requests are refused with status 503
 * @param serviceTimeMillis mean service time of a request in milliseconds, without its child calls
 * @param serviceTimeSpread maximum deviation from the mean service time, as a fraction from 0 to 1
 * @param coldStartMillis period after the start with longer service times, which fall from tenfold to normal
 * @param calls child calls of each request, sent one by one, such as {@code GET /stock/{n}}
 */
public record UpstreamOptions(
        String listen,
        String node,
        String host,
        String service,
        int slots,
        int connections,
        int queue,
        double serviceTimeMillis,
        double serviceTimeSpread,
        long coldStartMillis,
        List<String> calls) {
    /** Checks the ranges and addresses. */
    public UpstreamOptions {
        Addresses.parse(listen);
        if (!node.isEmpty()) {
            Addresses.parse(node);
        }
        Checks.requirePositive("slots", slots);
        Checks.requirePositive("connections", connections);
        Checks.requireNonNegative("queue", queue);
        Checks.requireNonNegative("coldStartMillis", coldStartMillis);
        Checks.requireProbability("serviceTimeSpread", serviceTimeSpread);
        if (!(serviceTimeMillis >= 0 && serviceTimeMillis <= 3_600_000)) {
            throw new IllegalArgumentException("serviceTimeMillis must be from 0 to 3600000: " + serviceTimeMillis);
        }
        calls = List.copyOf(calls);
        calls.forEach(UpstreamOptions::checkCall);
    }

    /** Returns options with 90 slots, a mean service time of 10 ms, a free local port and no announcements. */
    public static UpstreamOptions of(String host, String service) {
        return new UpstreamOptions("127.0.0.1:0", "", host, service, 90, 650, 100, 10, 0.3, 0, List.of());
    }

    /** Returns a copy with the given listen address. */
    public UpstreamOptions withListen(String value) {
        return new UpstreamOptions(
                value,
                node,
                host,
                service,
                slots,
                connections,
                queue,
                serviceTimeMillis,
                serviceTimeSpread,
                coldStartMillis,
                calls);
    }

    /** Returns a copy that sends announcements and child calls to the given node. */
    public UpstreamOptions withNode(String value) {
        return new UpstreamOptions(
                listen,
                value,
                host,
                service,
                slots,
                connections,
                queue,
                serviceTimeMillis,
                serviceTimeSpread,
                coldStartMillis,
                calls);
    }

    /** Returns a copy with the given maximum numbers of slots, connections and waiting requests. */
    public UpstreamOptions withCapacity(int newSlots, int newConnections, int newQueue) {
        return new UpstreamOptions(
                listen,
                node,
                host,
                service,
                newSlots,
                newConnections,
                newQueue,
                serviceTimeMillis,
                serviceTimeSpread,
                coldStartMillis,
                calls);
    }

    /** Returns a copy with the given mean service time in milliseconds and its spread. */
    public UpstreamOptions withServiceTime(double millis, double spread) {
        return new UpstreamOptions(
                listen, node, host, service, slots, connections, queue, millis, spread, coldStartMillis, calls);
    }

    /** Returns a copy with the given cold start period in milliseconds. */
    public UpstreamOptions withColdStartMillis(long value) {
        return new UpstreamOptions(
                listen,
                node,
                host,
                service,
                slots,
                connections,
                queue,
                serviceTimeMillis,
                serviceTimeSpread,
                value,
                calls);
    }

    /** Returns a copy with the given child calls. */
    public UpstreamOptions withCalls(List<String> value) {
        return new UpstreamOptions(
                listen,
                node,
                host,
                service,
                slots,
                connections,
                queue,
                serviceTimeMillis,
                serviceTimeSpread,
                coldStartMillis,
                value);
    }

    private static void checkCall(String call) {
        if (!call.matches("[A-Z]+ /\\S*")) {
            throw new IllegalArgumentException("a call must have the form \"GET /path\", but was: " + call);
        }
    }
}
