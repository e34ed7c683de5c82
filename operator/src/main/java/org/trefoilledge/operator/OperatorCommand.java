package org.trefoilledge.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import org.trefoilledge.configstore.SettingsException;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.core.config.ConfigCodec;
import picocli.CommandLine.Option;

/** A command that ends with one answer. Text of failures goes to standard error, JSON always to standard output. */
abstract class OperatorCommand implements Callable<Integer> {
    final Environment environment;

    @Option(names = "--json", description = "Print the outcome as one JSON object.")
    boolean json;

    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "Show this help and exit.")
    boolean help;

    OperatorCommand(Environment environment) {
        this.environment = environment;
    }

    abstract Answer answer() throws SettingsException, RejectedException, StoreException, InterruptedException;

    @Override
    public Integer call() {
        Answer answer = answerOrFailure();
        print(answer);
        return answer.exitCode();
    }

    private Answer answerOrFailure() {
        try {
            return answer();
        } catch (SettingsException e) {
            return Answer.failure(ExitCode.INVALID, "invalid", e.getMessage(), List.of());
        } catch (RejectedException e) {
            return Answer.failure(ExitCode.FAILED, "rejected", e.getMessage(), e.details());
        } catch (StoreException e) {
            return Answer.failure(ExitCode.FAILED, "failed", "nothing was changed: " + e.getMessage(), List.of());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.failure(ExitCode.NOT_KNOWN, "interrupted", "the command was interrupted", List.of());
        }
    }

    private void print(Answer answer) {
        PrintWriter writer = json || !answer.toError() ? environment.out() : environment.err();
        if (json) {
            writer.println(pretty(answer));
        } else {
            answer.lines().forEach(writer::println);
        }
        writer.flush();
    }

    private static String pretty(Answer answer) {
        try {
            return ConfigCodec.json().writerWithDefaultPrettyPrinter().writeValueAsString(answer.json());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree can always be written", e);
        }
    }
}
