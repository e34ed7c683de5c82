package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilledge.core.RouteId;
import org.trefoilledge.core.ServiceId;
import org.trefoilledge.core.admission.AdmissionPlan;
import org.trefoilledge.core.admission.NodeLoad;
import org.trefoilledge.core.admission.RequestClass;
import org.trefoilledge.core.admission.RouteLoad;
import org.trefoilledge.wire.generated.AdmittedPart;
import org.trefoilledge.wire.generated.ChildCalls;
import org.trefoilledge.wire.generated.ClassArrivals;
import org.trefoilledge.wire.generated.RouteExecutions;
import org.trefoilledge.wire.generated.ServiceRetries;
import org.trefoilledge.wire.generated.UpstreamStatus;

/** Converts node loads and admission plans to and from the messages between nodes. */
final class LoadMessages {
    /** Rates, times, ratios and busy slots are sent as integers, in hundredths. */
    private static final double FIXED_POINT_SCALE = 100;
    /** Admitted fractions of a plan are sent as integers, in ten-thousandths. */
    private static final double PLAN_SCALE = 10_000;

    private LoadMessages() {}

    static UpstreamStatus toMessage(NodeLoad load) {
        UpstreamStatus.Builder status = UpstreamStatus.newBuilder()
                .setService(load.service().value())
                .setNodes(load.nodes())
                .setSlots(load.slots())
                .setBusySlots(toFixedPoint(load.busySlots()))
                .setQueueDelay(toFixedPoint(load.queueDelayMillis()))
                .setOffered(toFixedPoint(load.offeredPerSecond()))
                .setRejected(toFixedPoint(load.rejectedPerSecond()));
        load.arrivals()
                .forEach((requests, perSecond) -> status.addArrivals(ClassArrivals.newBuilder()
                        .setRoute(requests.route().value())
                        .setRank(requests.rank())
                        .setPerSecond(toFixedPoint(perSecond))));
        load.retriesPerSecond()
                .forEach((service, perSecond) -> status.addRetries(
                        ServiceRetries.newBuilder().setService(service.value()).setPerSecond(toFixedPoint(perSecond))));
        load.executions().forEach((route, executions) -> {
            RouteExecutions.Builder message = RouteExecutions.newBuilder()
                    .setRoute(route.value())
                    .setPerSecond(toFixedPoint(executions.executionsPerSecond()))
                    .setHold(toFixedPoint(executions.holdMillis()));
            executions
                    .callsPerExecution()
                    .forEach((child, ratio) -> message.addCalls(
                            ChildCalls.newBuilder().setRoute(child.value()).setPerExecution(toFixedPoint(ratio))));
            status.addExecutions(message);
        });
        return status.build();
    }

    /** Converts a plan. */
    static List<AdmittedPart> toMessage(AdmissionPlan plan) {
        List<AdmittedPart> messages = new ArrayList<>();
        plan.admittedFractions().forEach((requests, fraction) -> {
            messages.add(AdmittedPart.newBuilder()
                    .setRoute(requests.route().value())
                    .setRank(requests.rank())
                    .setPart((int) Math.round(fraction * PLAN_SCALE))
                    .setLimitedByRetries(plan.isLimitedByRetries(requests))
                    .build());
        });
        return messages;
    }

    static AdmissionPlan toPlan(List<AdmittedPart> messages) {
        Map<RequestClass, Double> admitted = new HashMap<>();
        Set<RequestClass> limitedByRetries = new HashSet<>();
        for (AdmittedPart message : messages) {
            RequestClass requests = new RequestClass(new RouteId(message.getRoute()), message.getRank());
            admitted.put(requests, message.getPart() / PLAN_SCALE);
            if (message.getLimitedByRetries()) {
                limitedByRetries.add(requests);
            }
        }
        return new AdmissionPlan(admitted, limitedByRetries);
    }

    static NodeLoad toLoad(UpstreamStatus status) {
        Map<RequestClass, Double> arrivals = new HashMap<>();
        for (ClassArrivals entry : status.getArrivalsList()) {
            arrivals.put(
                    new RequestClass(new RouteId(entry.getRoute()), entry.getRank()),
                    entry.getPerSecond() / FIXED_POINT_SCALE);
        }
        Map<RouteId, RouteLoad> executions = new HashMap<>();
        for (RouteExecutions entry : status.getExecutionsList()) {
            Map<RouteId, Double> calls = new HashMap<>();
            for (ChildCalls call : entry.getCallsList()) {
                calls.put(new RouteId(call.getRoute()), call.getPerExecution() / FIXED_POINT_SCALE);
            }
            executions.put(
                    new RouteId(entry.getRoute()),
                    new RouteLoad(
                            entry.getPerSecond() / FIXED_POINT_SCALE, entry.getHold() / FIXED_POINT_SCALE, calls));
        }
        Map<ServiceId, Double> retries = new HashMap<>();
        status.getRetriesList()
                .forEach(entry ->
                        retries.put(new ServiceId(entry.getService()), entry.getPerSecond() / FIXED_POINT_SCALE));
        return new NodeLoad(
                new ServiceId(status.getService()),
                status.getNodes(),
                status.getSlots(),
                status.getBusySlots() / FIXED_POINT_SCALE,
                status.getQueueDelay() / FIXED_POINT_SCALE,
                arrivals,
                executions,
                status.getOffered() / FIXED_POINT_SCALE,
                status.getRejected() / FIXED_POINT_SCALE,
                retries);
    }

    private static int toFixedPoint(double value) {
        return (int) Math.min(Integer.MAX_VALUE, Math.round(value * FIXED_POINT_SCALE));
    }
}
