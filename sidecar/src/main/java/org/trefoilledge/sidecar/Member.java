package org.trefoilledge.sidecar;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.trefoilledge.core.HostId;
import org.trefoilledge.core.Incarnation;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.core.placement.Candidate;

/**
 * The entry of one sidecar in the store.
 *
 * @param peers address for other sidecars
 * @param upstream name of the upstream's run, empty if there is none
 * @param serving whether the upstream may get work
 */
record Member(
        HostId host,
        ZoneId zone,
        String peers,
        Incarnation incarnation,
        ServiceId service,
        String upstream,
        int slots,
        boolean serving) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** The entry as it lies in the store. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record Stored(
            String host,
            String zone,
            String peers,
            long incarnation,
            String service,
            String upstream,
            int slots,
            boolean serving) {}

    static Member of(byte[] stored) throws IOException {
        Stored entry = JSON.readValue(stored, Stored.class);
        try {
            return new Member(
                    new HostId(entry.host()),
                    new ZoneId(entry.zone()),
                    entry.peers(),
                    new Incarnation(entry.incarnation()),
                    new ServiceId(entry.service()),
                    entry.upstream(),
                    entry.slots(),
                    entry.serving());
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new IOException("a member's entry is incomplete: " + e.getMessage(), e);
        }
    }

    byte[] stored() {
        try {
            return JSON.writeValueAsBytes(new Stored(
                    host.value(), zone.value(), peers, incarnation.value(), service.value(), upstream, slots, serving));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain values cannot be written", e);
        }
    }

    Candidate candidate() {
        return new Candidate(host, zone, service, peers, incarnation, Math.max(1, slots));
    }
}
