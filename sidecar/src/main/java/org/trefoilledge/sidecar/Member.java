package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.placement.Candidate;
import org.trefoilledge.wire.PeerAddress;

/**
 * The entry of a sidecar in the store, serialized as JSON.
 *
 * @param peerAddress address at which other sidecars connect
 * @param upstreamId instance id of the upstream, empty if there is none
 * @param slots number of requests that the upstream processes concurrently
 * @param serving whether the upstream accepts requests
 * @param cold whether the upstream is treated as cold, so that it gets few requests
 */
record Member(
        HostId host,
        ZoneId zone,
        String peerAddress,
        Incarnation incarnation,
        ServiceId service,
        String upstreamId,
        int slots,
        boolean serving,
        boolean cold) {
    private static final Json JSON = new Json();
    /** Field without a meaning, which nodes of earlier versions require. */
    private static final String LEAVING_RUN = "leavingRun";
    /** Flag that is absent unless it is true, as in the entries of earlier versions. */
    private static final String COLD = "cold";

    /** Creates the entry of a sidecar whose upstream is not cold. */
    Member(
            HostId host,
            ZoneId zone,
            String peerAddress,
            Incarnation incarnation,
            ServiceId service,
            String upstreamId,
            int slots,
            boolean serving) {
        this(host, zone, peerAddress, incarnation, service, upstreamId, slots, serving, false);
    }

    static Member parse(byte[] stored) throws IOException {
        JsonNode entry = JSON.readTree(stored);
        try {
            requireInteger(entry, LEAVING_RUN);
            return new Member(
                    new HostId(requireText(entry, "host")),
                    new ZoneId(requireText(entry, "zone")),
                    requireAddress(entry, "peers"),
                    new Incarnation(requireInteger(entry, "incarnation")),
                    new ServiceId(requireText(entry, "service")),
                    requireText(entry, "upstream"),
                    requireSlots(entry, "slots"),
                    requireFlag(entry, "serving"),
                    entry.path(COLD).asBoolean(false));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid member entry: " + e.getMessage(), e);
        }
    }

    private static String requireText(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("field \"" + field + "\" is missing or not a string");
        }
        return value.asText();
    }

    private static String requireAddress(JsonNode entry, String field) {
        String address = requireText(entry, field);
        PeerAddress.parse(address);
        return address;
    }

    private static long requireInteger(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException("field \"" + field + "\" is missing or not a 64-bit integer");
        }
        return value.asLong();
    }

    private static int requireSlots(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isInt() || value.asInt() < 0) {
            throw new IllegalArgumentException("field \"" + field + "\" is missing or not a number of slots");
        }
        return value.asInt();
    }

    private static boolean requireFlag(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("field \"" + field + "\" is missing or not true or false");
        }
        return value.asBoolean();
    }

    byte[] toJson() {
        ObjectNode entry = JSON.createObjectNode()
                .put("host", host.value())
                .put("zone", zone.value())
                .put("peers", peerAddress)
                .put("incarnation", incarnation.value())
                .put("service", service.value())
                .put("upstream", upstreamId)
                .put("slots", slots)
                .put("serving", serving)
                .put(LEAVING_RUN, 0);
        if (cold) {
            entry.put(COLD, true);
        }
        return JSON.writeBytes(entry);
    }

    Candidate toCandidate() {
        return new Candidate(host, zone, service, peerAddress, incarnation, Math.max(1, slots), cold);
    }
}
