package org.trefoilledge.sidecar;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ZoneId;
import org.trefoilledge.wire.generated.Evacuation;

/**
 * The zones that operators have evacuated, with the time at which the read of the store that returned them was sent. A
 * newer read replaces an older one, whatever it returned: revisions of the store are not compared, because a store that
 * was restored issues them again. Written on the control thread, read on any.
 */
final class EvacuationState {
    private static final Logger LOG = LoggerFactory.getLogger(EvacuationState.class);
    /**
     * Assumed time that a report takes to arrive. Reports that take longer are repeated by then. Without it, a state that
     * a delayed report carries would seem newer than a later read.
     */
    private static final long REPORT_TRANSIT_MILLIS = 500;

    /** Time after a restore of the store in which its operators write evacuations again that the backup lacks. */
    private static final long RESTORE_HOLD_MILLIS = 5_000;

    private final boolean active;
    private final Clock clock;
    private long holdUntilMillis = Long.MIN_VALUE;
    private Runnable onChange = () -> {};
    private Set<String> reportedNames = Set.of();
    private volatile Snapshot snapshot = new Snapshot(Set.of(), Long.MIN_VALUE / 2);

    private record Snapshot(Set<ZoneId> zones, long readMillis) {
        boolean known() {
            return readMillis > Long.MIN_VALUE / 2;
        }
    }

    /**
     * @param active whether operators evacuate zones in this deployment; otherwise the state is always empty and known
     * @param clock clock that includes the time for which the host is suspended
     */
    EvacuationState(boolean active, Clock clock) {
        this.active = active;
        this.clock = clock;
    }

    /** Sets what is done after the zones have changed, or become known. */
    void onChange(Runnable listener) {
        onChange = listener;
    }

    /** Returns whether operators evacuate zones in this deployment. */
    boolean isActive() {
        return active;
    }

    /** Returns whether the state was received once since this node started. */
    boolean isKnown() {
        return !active || snapshot.known();
    }

    /** Returns the evacuated zones; none while they are not known. */
    Set<ZoneId> zones() {
        return snapshot.zones();
    }

    boolean includes(ZoneId zone) {
        return snapshot.zones().contains(zone);
    }

    /** Returns the time since the read that returned this state, in milliseconds. */
    long ageMillis() {
        if (!active) {
            return 0;
        }
        Snapshot current = snapshot;
        long age = current.known() ? Math.max(0, clock.millis() - current.readMillis()) : Integer.MAX_VALUE;
        return Math.min(Integer.MAX_VALUE, age);
    }

    /** Returns the current time, to be passed to {@link #update} or {@link #receive} with the answer of a call. */
    long now() {
        return clock.millis();
    }

    /** Keeps zones evacuated that the store has lost with a restore, until operators have had time to write them again. */
    void onRestore() {
        holdUntilMillis = clock.millis() + RESTORE_HOLD_MILLIS;
    }

    /** Applies the names of the evacuated zones, as returned by a read that was sent at the given time. */
    void update(List<String> names, long sentMillis) {
        apply(parseZones(names), sentMillis);
    }

    /** Applies the state in the answer of another node to a message that was sent at the given time. */
    void receive(Evacuation message, long sentMillis) {
        if (active) {
            apply(parseZones(message.getZonesList()), sentMillis - Integer.toUnsignedLong(message.getAgeMillis()));
        }
    }

    /** Applies the state in a report of another node, which arrives now. */
    void receiveReport(Evacuation message) {
        receive(message, clock.millis() - REPORT_TRANSIT_MILLIS);
    }

    /** Returns this state as a message to another node; empty if it is not known. */
    Optional<Evacuation> message() {
        Snapshot current = snapshot;
        if (!active || !current.known()) {
            return Optional.empty();
        }
        Evacuation.Builder message = Evacuation.newBuilder().setAgeMillis((int) ageMillis());
        current.zones().forEach(zone -> message.addZones(zone.value()));
        return Optional.of(message.build());
    }

    private void apply(Set<ZoneId> zones, long readMillis) {
        Snapshot previous = snapshot;
        if (!active || readMillis <= previous.readMillis()) {
            return;
        }
        Set<ZoneId> inForce = new HashSet<>(zones);
        if (clock.millis() < holdUntilMillis) {
            inForce.addAll(previous.zones());
        }
        snapshot = new Snapshot(Set.copyOf(inForce), readMillis);
        if (!previous.known() || !previous.zones().equals(inForce)) {
            LOG.info("evacuation: evacuated zones are {}, as read {} ms ago", inForce, ageMillis());
            onChange.run();
        }
    }

    /** Parses zone names; leaves out invalid ones, and logs each change among these. */
    private Set<ZoneId> parseZones(List<String> names) {
        Set<ZoneId> zones = new HashSet<>();
        Set<String> malformed = new TreeSet<>();
        for (String name : names) {
            try {
                zones.add(new ZoneId(name));
            } catch (IllegalArgumentException e) {
                malformed.add(name);
            }
        }
        if (!malformed.isEmpty() && !malformed.equals(reportedNames)) {
            reportedNames = malformed;
            LOG.warn("evacuation: ignored invalid names of zones: {}", malformed);
        }
        return Set.copyOf(zones);
    }
}
