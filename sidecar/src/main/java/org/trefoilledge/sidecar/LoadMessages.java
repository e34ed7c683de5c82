package org.trefoilledge.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.trefoilledge.wire.generated.UpstreamStatus;

/** Converts loads and plans to and from the messages between nodes. */
final class LoadMessages {
    /** Figures travel in hundredths. */
    private static final double PARTS = 100;
    /** Parts of a plan travel in ten-thousandths. */
    private static final double PLAN_PARTS = 10_000;

    private LoadMessages() {}

    static UpstreamStatus message(NodeLoad load) {
        UpstreamStatus.Builder status = UpstreamStatus.newBuilder()
                .setService(load.service().value())
                .setNodes(load.nodes())
                .setSlots(load.slots())
                .setBusySlots(parts(load.busySlots()))
                .setQueueDelay(parts(load.queueDelayMillis()));
        load.arrivals()
                .forEach((requests, perSecond) -> status.addArrivals(ClassArrivals.newBuilder()
                        .setRoute(requests.route().value())
                        .setRank(requests.rank())
                        .setPerSecond(parts(perSecond))));
        load.executions().forEach((route, executions) -> {
            RouteExecutions.Builder message = RouteExecutions.newBuilder()
                    .setRoute(route.value())
                    .setPerSecond(parts(executions.executionsPerSecond()))
                    .setHold(parts(executions.holdMillis()));
            executions
                    .callsPerExecution()
                    .forEach((child, ratio) -> message.addCalls(
                            ChildCalls.newBuilder().setRoute(child.value()).setPerExecution(parts(ratio))));
            status.addExecutions(message);
        });
        return status.build();
    }

    static List<AdmittedPart> message(AdmissionPlan plan) {
        List<AdmittedPart> parts = new ArrayList<>();
        plan.admitted().forEach((requests, part) -> {
            if (part < 1) {
                parts.add(AdmittedPart.newBuilder()
                        .setRoute(requests.route().value())
                        .setRank(requests.rank())
                        .setPart((int) Math.round(part * PLAN_PARTS))
                        .build());
            }
        });
        return parts;
    }

    static AdmissionPlan plan(List<AdmittedPart> parts) {
        Map<RequestClass, Double> admitted = new HashMap<>();
        for (AdmittedPart part : parts) {
            admitted.put(new RequestClass(new RouteId(part.getRoute()), part.getRank()), part.getPart() / PLAN_PARTS);
        }
        return new AdmissionPlan(admitted);
    }

    static NodeLoad load(UpstreamStatus status) {
        Map<RequestClass, Double> arrivals = new HashMap<>();
        for (ClassArrivals entry : status.getArrivalsList()) {
            arrivals.put(
                    new RequestClass(new RouteId(entry.getRoute()), entry.getRank()), entry.getPerSecond() / PARTS);
        }
        Map<RouteId, RouteLoad> executions = new HashMap<>();
        for (RouteExecutions entry : status.getExecutionsList()) {
            Map<RouteId, Double> calls = new HashMap<>();
            for (ChildCalls call : entry.getCallsList()) {
                calls.put(new RouteId(call.getRoute()), call.getPerExecution() / PARTS);
            }
            executions.put(
                    new RouteId(entry.getRoute()),
                    new RouteLoad(entry.getPerSecond() / PARTS, entry.getHold() / PARTS, calls));
        }
        return new NodeLoad(
                new ServiceId(status.getService()),
                status.getNodes(),
                status.getSlots(),
                status.getBusySlots() / PARTS,
                status.getQueueDelay() / PARTS,
                arrivals,
                executions);
    }

    private static int parts(double value) {
        return (int) Math.min(Integer.MAX_VALUE, Math.round(value * PARTS));
    }
}
