package org.trefoilledge.sidecar;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.DoubleSupplier;
import org.trefoilledge.wire.generated.CallAnswer;

/** Metrics of a sidecar in the Prometheus text format. Thread-safe. */
final class SidecarMetrics {
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ConcurrentMap<String, Counter> answersByOutcome = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Counter> storeCallsByOutcome = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Counter> admissionRefusals = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Counter> retriesByOutcome = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Counter> configChangesBySource = new ConcurrentHashMap<>();
    private final Timer latency = Timer.builder("trefoilledge.answer.time")
            .description("Time from the last byte of a request to its answer")
            .serviceLevelObjectives(LATENCY_BUCKETS)
            .register(registry);
    private final Counter storeRestores = Counter.builder("trefoilledge.store.restores")
            .description("Restores of the platform's store from a backup that this node has noticed")
            .register(registry);
    private final Counter explanations = Counter.builder("trefoilledge.explanations")
            .description("Requests to explain where a caller's request would go")
            .register(registry);
    private final Map<CallerLeft, Counter> callersLeft = new EnumMap<>(CallerLeft.class);

    SidecarMetrics() {
        for (CallerLeft stage : CallerLeft.values()) {
            callersLeft.put(
                    stage,
                    Counter.builder("trefoilledge.callers.left")
                            .description(
                                    "Requests whose caller left before the answer, by the stage that they had reached")
                            .tag("stage", stage.label())
                            .register(registry));
        }
    }

    /** Records the outcome and latency of an answer to a caller. */
    void recordAnswer(CallAnswer answer, long elapsedMillis) {
        String outcome =
                Refusals.isRefusal(answer) ? answer.getRefusal() : "UPSTREAM_" + answer.getStatus() / 100 + "XX";
        answersByOutcome
                .computeIfAbsent(outcome, key -> Counter.builder("trefoilledge.answers")
                        .description("Answers to callers by error kind, or by the status of the upstream")
                        .tag("outcome", key)
                        .register(registry))
                .increment();
        latency.record(Duration.ofMillis(elapsedMillis));
    }

    /** Counts a root request that was refused before any work, by the cause: slots, retries or outcomes. */
    void recordAdmissionRefusal(String cause) {
        admissionRefusals
                .computeIfAbsent(cause, key -> Counter.builder("trefoilledge.admission.refused")
                        .description("Root requests refused before any work, by what limits their class")
                        .tag("cause", key)
                        .register(registry))
                .increment();
    }

    /** Counts a retry of a request that has reached an upstream, granted or denied by the retry budget. */
    void recordRetry(boolean granted) {
        String outcome = granted ? "granted" : "denied";
        retriesByOutcome
                .computeIfAbsent(outcome, key -> Counter.builder("trefoilledge.retries")
                        .description("Retries of requests that have reached an upstream, by decision of the budget")
                        .tag("outcome", key)
                        .register(registry))
                .increment();
    }

    /** Counts a request whose caller left. */
    void recordCallerLeft(CallerLeft stage) {
        callersLeft.get(stage).increment();
    }

    /** Counts a call to the platform's store by operation and outcome. */
    void recordStoreCall(String operation, boolean succeeded) {
        String outcome = succeeded ? "ok" : "failed";
        storeCallsByOutcome
                .computeIfAbsent(operation + '/' + outcome, key -> Counter.builder("trefoilledge.store.calls")
                        .description("Calls to the platform's store")
                        .tag("operation", operation)
                        .tag("outcome", outcome)
                        .register(registry))
                .increment();
    }

    /** Counts a change of the configuration by how it reached this node: by a watch, a read or a peer. */
    void recordConfigChange(String source) {
        configChangesBySource
                .computeIfAbsent(source, key -> Counter.builder("trefoilledge.config.changes")
                        .description("Changes of the configuration by how they reached this node")
                        .tag("source", key)
                        .register(registry))
                .increment();
    }

    /** Counts a restore of the platform's store. */
    void recordStoreRestore() {
        storeRestores.increment();
    }

    /** Counts a request to explain where a caller's request would go. */
    void recordExplanation() {
        explanations.increment();
    }

    /** Registers a gauge whose value is read on every scrape. */
    void registerGauge(String name, String description, DoubleSupplier value) {
        io.micrometer.core.instrument.Gauge.builder(name, value::getAsDouble)
                .description(description)
                .register(registry);
    }

    /** Registers a counter whose value is read on every scrape. */
    void registerCounter(String name, String description, DoubleSupplier value) {
        FunctionCounter.builder(name, value, DoubleSupplier::getAsDouble)
                .description(description)
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }
}
