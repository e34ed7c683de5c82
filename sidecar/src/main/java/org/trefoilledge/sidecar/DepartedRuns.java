package org.trefoilledge.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * The runs of the upstream on a host that have announced their end. They never serve again. The runs on a host follow each
 * other, so that a run that started before a departed one has departed too.
 *
 * @param throughStartMillis wall-clock start time of the last run that is known to have departed
 * @param deregisteredId id of the last upstream that deregistered without a known start time, empty if there is none
 * @param deregisteredMillis wall-clock time of that deregistration; later runs may have the same id
 */
record DepartedRuns(long throughStartMillis, String deregisteredId, long deregisteredMillis) {
    static final DepartedRuns NONE = new DepartedRuns(Long.MIN_VALUE, "", Long.MIN_VALUE);

    private static final Json JSON = new Json();

    static DepartedRuns parse(byte[] stored) throws IOException {
        JsonNode record = JSON.readTree(stored);
        JsonNode through = record.path("throughStart");
        JsonNode id = record.path("deregisteredId");
        JsonNode deregistered = record.path("deregisteredAt");
        if (!through.isIntegralNumber() || !id.isTextual() || !deregistered.isIntegralNumber()) {
            throw new IOException("invalid record of departed runs: a field is missing or has another type");
        }
        return new DepartedRuns(through.asLong(), id.asText(), deregistered.asLong());
    }

    byte[] toJson() {
        return JSON.writeBytes(JSON.createObjectNode()
                .put("throughStart", throughStartMillis)
                .put("deregisteredId", deregisteredId)
                .put("deregisteredAt", deregisteredMillis));
    }

    /** Returns whether a run has departed. */
    boolean includes(String id, long startedMillis) {
        return startedMillis <= throughStartMillis
                || (id.equals(deregisteredId) && startedMillis <= deregisteredMillis);
    }

    /** Returns whether everything in the other record holds by this one. */
    boolean includes(DepartedRuns other) {
        return merge(other).equals(this);
    }

    DepartedRuns withRun(long startedMillis) {
        return merge(new DepartedRuns(startedMillis, "", Long.MIN_VALUE));
    }

    /** Adds the runs of an id up to a deregistration, for an upstream whose start time is not known. */
    DepartedRuns withDeregistration(String id, long wallMillis) {
        return merge(new DepartedRuns(Long.MIN_VALUE, id, wallMillis));
    }

    DepartedRuns merge(DepartedRuns other) {
        DepartedRuns later = other.deregisteredMillis > deregisteredMillis ? other : this;
        return new DepartedRuns(
                Math.max(throughStartMillis, other.throughStartMillis), later.deregisteredId, later.deregisteredMillis);
    }

    // The generated methods of a record are slow before JIT compilation.
    @Override
    public boolean equals(Object other) {
        return other instanceof DepartedRuns that
                && that.throughStartMillis == throughStartMillis
                && that.deregisteredMillis == deregisteredMillis
                && that.deregisteredId.equals(deregisteredId);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * Long.hashCode(throughStartMillis) + deregisteredId.hashCode())
                + Long.hashCode(deregisteredMillis);
    }
}
