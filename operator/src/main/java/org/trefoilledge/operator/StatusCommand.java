package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.trefoilledge.configstore.SettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "status", description = "Show what nodes report about themselves and their members.")
final class StatusCommand extends OperatorCommand {
    private static final String ROW = "%-16s %-10s %-18s %-9s %8s %-8s %-13s %-8s %11s %8s %5s %s";

    @Option(
            names = "--node",
            required = true,
            paramLabel = "HOST:PORT",
            converter = NodeAddress.Converter.class,
            description = "Operators' port of a node; repeat it for further nodes.")
    List<NodeAddress> nodes;

    @Option(names = "--members", description = "List the members that the first node knows.")
    boolean members;

    StatusCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws SettingsException, InterruptedException {
        List<NodeStatus> statuses = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (NodeAddress node : nodes) {
            try {
                statuses.add(new NodeStatus(node, environment.nodes().get(node, "/status")));
            } catch (IOException e) {
                failures.add("node " + node + " cannot be reached: " + e.getMessage());
            }
        }
        List<String> lines = lines(statuses);
        lines.addAll(failures);
        int exitCode = failures.isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
        return new Answer(exitCode, lines, json(statuses, failures));
    }

    private List<String> lines(List<NodeStatus> statuses) {
        List<String> lines = new ArrayList<>();
        if (statuses.isEmpty()) {
            return lines;
        }
        lines.add(String.format(
                        ROW,
                        "HOST",
                        "ZONE",
                        "SERVICE",
                        "STATE",
                        "REVISION",
                        "DIGEST",
                        "STORE",
                        "ISOLATED",
                        "RUNNING",
                        "DELAY-MS",
                        "LEVEL",
                        "SHARDS")
                .stripTrailing());
        statuses.forEach(status -> lines.add(row(status)));
        JsonNode known = statuses.get(0).json().path("members");
        lines.add("members known to " + statuses.get(0).text("host") + ": " + count(known));
        if (members) {
            known.forEach(member -> lines.add(member(member)));
        }
        return lines;
    }

    private static String row(NodeStatus status) {
        String digest = status.text("digest");
        String store = status.flag("storeReachable") ? "reachable" : "down " + status.number("storeAgeSeconds") + " s";
        String shards = status.json().path("shards").size() + (status.flag("authority") ? "" : " (no authority)");
        return String.format(
                        ROW,
                        status.text("host"),
                        status.text("zone"),
                        status.text("service"),
                        status.text("upstreamState"),
                        status.text("revision"),
                        digest.substring(0, Math.min(8, digest.length())),
                        store,
                        status.flag("isolated") ? "yes" : "no",
                        status.text("inFlight") + "/" + status.text("limit"),
                        status.text("queueDelayMillis"),
                        status.text("admissionLevel"),
                        shards)
                .stripTrailing();
    }

    private static String count(JsonNode members) {
        TreeMap<String, Integer> states = new TreeMap<>();
        members.forEach(member -> states.merge(member.path("state").asText(), 1, Integer::sum));
        return members.size() + " " + states;
    }

    private static String member(JsonNode member) {
        return String.format(
                "  %-16s %-10s %-18s %-9s slots %s, revision %s",
                member.path("host").asText(),
                member.path("zone").asText(),
                member.path("service").asText(),
                member.path("state").asText(),
                member.path("slots").asText(),
                member.path("revision").asText());
    }

    private static ObjectNode json(List<NodeStatus> statuses, List<String> failures) {
        ObjectNode object = Answer.object(failures.isEmpty() ? "shown" : "failed");
        var nodes = object.putArray("nodes");
        statuses.forEach(status -> nodes.add(status.json()));
        failures.forEach(object.putArray("failures")::add);
        return object;
    }
}
