package org.trefoilledge.sidecar;

import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.trefoilledge.core.Clock;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.overload.ColdRate;
import org.trefoilledge.core.overload.ColdStart;
import org.trefoilledge.core.overload.LoadReport;
import org.trefoilledge.core.routing.ServicePolicy;
import org.trefoilledge.wire.generated.CallAnswer;

/**
 * Refuses the calls that the upstream on this host must not get while it is cold, and finds out whether it is. Used on the
 * traffic thread, except where stated otherwise.
 */
final class ColdStartControl {
    private static final Logger LOG = LoggerFactory.getLogger(ColdStartControl.class);
    /** Shortest time between two probes. */
    private static final long PROBE_INTERVAL_MILLIS = 1_000;
    /** Time for which the upstream may be cold without a statement before other nodes are told that it is. */
    private static final long PUBLISH_DELAY_MILLIS = 1_000;
    /** Weight of one execution in the average time of executions. */
    private static final double EXECUTION_SMOOTHING = 0.1;
    /** Assumed time of an execution before the first one has ended. */
    private static final double INITIAL_EXECUTION_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String REASON = "the upstream is cold";
    private static final ColdRate NO_RATE = new ColdRate(0, 0, 0);

    private final Optional<SidecarSettings.ColdRequests> bound;
    private final Clock clock;
    private final HealthProbe prober;
    private final ColdStart coldStart;
    private final LongAdder refusedCalls = new LongAdder();
    private final LongAdder suspicions = new LongAdder();
    private final LongAdder probesSent = new LongAdder();
    private final LongAdder probesFailed = new LongAdder();
    private Optional<ServicePolicy> policy = Optional.empty();
    private ColdRate rate = NO_RATE;
    private boolean configured;
    private String upstreamId = "";
    private boolean reportedCold;
    private long uncertainSinceMillis;
    private boolean probeInFlight;
    private long lastProbeMillis = Long.MIN_VALUE / 2;
    private double executionMillis = INITIAL_EXECUTION_MILLIS;

    private volatile boolean publishedCold;
    /**
     * @param bound bound on requests to cold upstreams; if empty, nothing is limited
     * @param announcementIntervalMillis interval between announcements of the upstream
     * @param clock clock that includes the time for which the host is suspended
     */
    ColdStartControl(
            Optional<SidecarSettings.ColdRequests> bound,
            long announcementIntervalMillis,
            Clock clock,
            HealthProbe prober) {
        this.bound = bound;
        this.clock = clock;
        this.prober = prober;
        this.coldStart = new ColdStart(NO_RATE, announcementIntervalMillis, clock.millis());
    }

    /** Returns a control that limits nothing. */
    static ColdStartControl disabled(Clock clock) {
        return new ColdStartControl(Optional.empty(), 1, clock, null);
    }

    /** Returns whether the gate of a cold upstream, here or on another host, has refused a call. */
    static boolean isRefusal(CallAnswer answer) {
        return answer.getRefusalReason().equals(REASON);
    }

    /** Sets the policy of the service from a configuration; empty if the configuration does not mention the service. */
    void configure(Optional<ServicePolicy> newPolicy) {
        configured = true;
        policy = newPolicy;
        rate = bound.isPresent() && newPolicy.isPresent()
                ? ColdRate.within(
                        newPolicy.get().coldPerSecond(),
                        newPolicy.get().coldPerSecond() * bound.get().over()
                                + bound.get().slack(),
                        newPolicy.get().coldStartMillis())
                : NO_RATE;
        coldStart.configure(rate, clock.millis());
        update(clock.millis(), "the rate is configured");
    }

    /** Sets the id of the announced upstream. */
    void upstreamId(String id) {
        upstreamId = id;
    }

    /** Records an announcement of the upstream. */
    void announce(Announcement.Heartbeat heartbeat) {
        long now = clock.millis();
        upstreamId = heartbeat.id();
        coldStart.announce(heartbeat.startedMillis(), heartbeat.coldRemainingMillis(), now);
        update(now, "announced");
    }

    /** Records an event after which the upstream may be cold. */
    void suspect(String reason) {
        long now = clock.millis();
        coldStart.suspect(now);
        if (isActive()) {
            suspicions.increment();
        }
        update(now, reason);
    }

    /** Returns whether calls are limited at present. */
    boolean isLimiting() {
        return isActive() && coldStart.mayBeCold(clock.millis());
    }

    /** Returns whether other nodes should treat the upstream as cold. May be called from any thread. */
    boolean isPublishedCold() {
        return publishedCold;
    }

    /**
     * Returns the refusal of a call that must not be queued, or null. Sends a probe if one may end the uncertainty.
     *
     * @param unsentCalls calls that were accepted and have not been sent to the upstream yet
     */
    CallAnswer refusalForOffer(int unsentCalls) {
        if (bound.isPresent() && !configured) {
            return Refusals.refusal(ErrorKind.NO_UPSTREAM, "the rate of the cold upstream is not known yet");
        }
        if (!isLimiting()) {
            return null;
        }
        long now = clock.millis();
        probeIfUseful(now);
        return coldStart.available(now) > unsentCalls ? null : refuse(unsentCalls + 1, now);
    }

    /** Takes the allowance of a call that is sent now; returns its refusal if it must not be sent, otherwise null. */
    CallAnswer refusalForSend() {
        if (bound.isEmpty() || !isActive()) {
            return null;
        }
        long now = clock.millis();
        return coldStart.tryStart(now) ? null : refuse(1, now);
    }

    private CallAnswer refuse(int neededRequests, long now) {
        refusedCalls.increment();
        // Calls for which the rate never allows a request may be tried again after the whole cold time.
        long waitMillis = Math.min(coldStart.waitMillis(neededRequests, now), Math.max(1_000, rate.coldMillis()));
        return Refusals.refusal(ErrorKind.OVERLOADED, Math.max(1, waitMillis), REASON);
    }

    /** Records the time of an execution at the upstream. */
    void recordExecution(long millis) {
        executionMillis += ((double) millis - executionMillis) * EXECUTION_SMOOTHING;
    }

    /** Returns the number of concurrent calls at which a cold upstream gets its rate, at most its slots. */
    int reduceSlots(int slots) {
        long now = clock.millis();
        update(now, "an announcement is missing");
        if (!isLimiting()) {
            return slots;
        }
        long concurrent = Math.round(rate.perSecond() * executionMillis / MILLIS_PER_SECOND);
        return (int) Math.min(slots, Math.max(1, concurrent));
    }

    /** Returns the load with the reduced limit. While the rate allows no call, the upstream is full. */
    LoadReport reduceLimit(LoadReport load) {
        if (!isLimiting()) {
            return load;
        }
        int limit = reduceSlots(load.limit());
        boolean full = coldStart.available(clock.millis()) < 1;
        return new LoadReport(
                full ? Math.max(load.inFlight(), limit) : load.inFlight(),
                limit,
                load.queueDelayMillis(),
                load.admissionLevel());
    }

    /** Registers the counters and gauges of this control. */
    void registerMetrics(SidecarMetrics metrics) {
        metrics.registerGauge(
                "trefoilledge.upstream.cold", "1 while the upstream is treated as cold", () -> publishedCold ? 1 : 0);
        metrics.registerCounter(
                "trefoilledge.cold.refused", "Calls refused because the upstream is cold", refusedCalls::sum);
        metrics.registerCounter(
                "trefoilledge.cold.suspected", "Events after which the upstream may be cold", suspicions::sum);
        metrics.registerCounter("trefoilledge.cold.probes", "Health probes sent", probesSent::sum);
        metrics.registerCounter(
                "trefoilledge.cold.probes.failed", "Health probes without a valid response", probesFailed::sum);
    }

    private boolean isActive() {
        return bound.isPresent()
                && policy.map(ServicePolicy::limitsColdUpstreams).orElse(false);
    }

    private void probeIfUseful(long now) {
        String path = policy.map(ServicePolicy::healthPath).orElse("");
        boolean useful = coldStart.isUncertain(now) && !coldStart.isKnownCold(now) && !path.isEmpty();
        if (!useful || probeInFlight || now - lastProbeMillis < PROBE_INTERVAL_MILLIS || !coldStart.tryStart(now)) {
            return;
        }
        probeInFlight = true;
        lastProbeMillis = now;
        probesSent.increment();
        prober.send(path, health -> handleProbe(now, health));
    }

    private void handleProbe(long sentMillis, Optional<HealthProbe.Health> health) {
        probeInFlight = false;
        long now = clock.millis();
        if (health.isEmpty() || !health.get().upstreamId().equals(upstreamId)) {
            probesFailed.increment();
            return;
        }
        coldStart.recordProbe(sentMillis, health.get().coldMillis(), now);
        update(now, "a health probe has found it cold");
    }

    /** Logs a change between cold and warm, and updates what other nodes are told. */
    private void update(long now, String reason) {
        boolean cold = isActive() && coldStart.mayBeCold(now);
        if (cold && !reportedCold) {
            uncertainSinceMillis = now;
        }
        if (cold != reportedCold && !upstreamId.isEmpty()) {
            LOG.info("upstream: {} is {}", upstreamId, cold ? "treated as cold: " + reason : "warm");
        }
        reportedCold = cold;
        publishedCold = cold && (coldStart.isKnownCold(now) || now - uncertainSinceMillis >= PUBLISH_DELAY_MILLIS);
    }
}
