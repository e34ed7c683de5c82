package org.trefoilledge.standin;

import java.util.List;

/**
 * What kind of upstream the stand-in is.
 *
 * @param listen IP address and port; port 0 takes a free one
 * @param node local address of the node on the same host, empty for an upstream that announces itself nowhere
 * @param host announced host
 * @param service announced service
 * @param slots requests executed at a time
 * @param connections connections accepted at a time
 * @param queue requests that wait for a slot; more are refused with status 503
 * @param serviceTimeMillis mean time that a request holds its slot, without its own calls
 * @param serviceTimeSpread part of the mean by which the time varies up and down, 0 to 1
 * @param coldStartMillis time after the start during which requests take longer, at first ten times as long
 * @param calls own calls for each request, one after the other, such as {@code GET /stock/{n}}
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

    /** Returns an upstream of 90 slots and 10 ms that listens on a free port and announces itself nowhere. */
    public static UpstreamOptions of(String host, String service) {
        return new UpstreamOptions("127.0.0.1:0", "", host, service, 90, 650, 100, 10, 0.3, 0, List.of());
    }

    /** Returns a copy that listens elsewhere. */
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

    /** Returns a copy that announces itself to a node and sends its own calls there. */
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

    /** Returns a copy with other counts of slots, connections and waiting requests. */
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

    /** Returns a copy with another service time. */
    public UpstreamOptions withServiceTime(double millis, double spread) {
        return new UpstreamOptions(
                listen, node, host, service, slots, connections, queue, millis, spread, coldStartMillis, calls);
    }

    /** Returns a copy with another cold start. */
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

    /** Returns a copy with other calls of its own. */
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
