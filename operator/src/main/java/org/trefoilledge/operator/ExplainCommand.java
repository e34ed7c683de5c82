package org.trefoilledge.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.trefoilledge.core.ErrorKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "explain",
        description = "Show the decisions about a request, oldest first, or the last refusals.",
        footer = {"", "Every answer to a caller has the request's id in the header Trefoilledge-Request."})
final class ExplainCommand extends OperatorCommand {
    @Parameters(
            paramLabel = "REQUEST",
            arity = "0..1",
            description = "Id of the request. Without it: the last 50 refusals of each node.")
    String request;

    @Option(
            names = "--node",
            required = true,
            paramLabel = "HOST:PORT",
            converter = NodeAddress.Converter.class,
            description = "Operators' port of a node; repeat it for further nodes.")
    List<NodeAddress> nodes;

    ExplainCommand(Environment environment) {
        super(environment);
    }

    @Override
    Answer answer() throws RejectedException, InterruptedException {
        String query = request == null ? "" : "?request=" + URLEncoder.encode(request, StandardCharsets.UTF_8);
        List<JsonNode> decisions = new ArrayList<>();
        List<String> failures = new ArrayList<>();
        for (NodeAddress node : nodes) {
            try {
                environment.nodes().get(node, "/explain" + query).forEach(decisions::add);
            } catch (IOException e) {
                failures.add("node " + node + " cannot be reached: " + e.getMessage());
            }
        }
        decisions.sort(Comparator.comparingLong(
                (JsonNode decision) -> -decision.path("atMillisAgo").asLong()));
        return decisions.isEmpty() ? none(failures) : found(decisions, failures);
    }

    private Answer none(List<String> failures) {
        if (request == null && failures.isEmpty()) {
            return new Answer(ExitCode.DONE, List.of("no refusals"), Answer.object("shown"));
        }
        List<String> details = new ArrayList<>(failures);
        details.add("a node keeps only its latest decisions; ask the node that the caller was connected to");
        String reason = request == null ? "no node answered" : "no decision about request " + request + " was found";
        return Answer.failure(ExitCode.FAILED, "failed", reason, details);
    }

    private static Answer found(List<JsonNode> decisions, List<String> failures) {
        List<String> lines = new ArrayList<>();
        decisions.forEach(decision -> lines.add(line(decision)));
        failures.forEach(failure -> lines.add("note: " + failure));
        ObjectNode object = Answer.object("shown");
        object.putArray("decisions").addAll(decisions);
        failures.forEach(object.putArray("failures")::add);
        return new Answer(ExitCode.DONE, lines, object);
    }

    private static String line(JsonNode decision) {
        String kind = decision.path("kind").asText();
        return String.format(
                "%s  %d ms ago  %s  organisation %s  route %s  %s%s: %s",
                decision.path("request").asText(),
                decision.path("atMillisAgo").asLong(),
                decision.path("stage").asText(),
                decision.path("organisation").asText("-"),
                decision.path("route").asText("-"),
                kind,
                kind(kind).map(ExplainCommand::advice).orElse(""),
                decision.path("reason").asText());
    }

    private static Optional<ErrorKind> kind(String name) {
        return List.of(ErrorKind.values()).stream()
                .filter(kind -> kind.name().equals(name))
                .findFirst();
    }

    private static String advice(ErrorKind kind) {
        return " (status " + kind.status() + ", ran: " + kind.ran().text() + ", retry: "
                + kind.retryAdvice().text() + ")";
    }
}
