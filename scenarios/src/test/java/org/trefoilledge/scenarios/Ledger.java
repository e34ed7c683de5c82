package org.trefoilledge.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/** All attempts of the callers, compared with the executions at the upstreams. Thread-safe. */
final class Ledger {
    private static final int SHOWN = 10;

    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();

    Attempt add(Attempt attempt) {
        attempts.add(attempt);
        return attempt;
    }

    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    List<Attempt> sentBetween(long fromNanos, long toNanos) {
        return attempts.stream()
                .filter(attempt -> attempt.sentNanos() - fromNanos >= 0 && attempt.sentNanos() - toNanos < 0)
                .toList();
    }

    void checkNoOrderRanTwice(ToIntFunction<String> executions) {
        Set<String> orders =
                attempts.stream().filter(Attempt::order).map(Attempt::id).collect(Collectors.toSet());
        List<String> twice =
                orders.stream().filter(id -> executions.applyAsInt(id) > 1).toList();
        assertThat(twice).as("orders that ran more than once").isEmpty();
    }

    /** An id whose attempts all say that they did not run must not have run. */
    void checkRefusalsAreTrue(ToIntFunction<String> executions) {
        Map<String, List<Attempt>> byId = attempts.stream().collect(Collectors.groupingBy(Attempt::id));
        List<Attempt> wrong = byId.values().stream()
                .filter(all -> all.stream().allMatch(Attempt::refusedAsNotRun))
                .filter(all -> executions.applyAsInt(all.get(0).id()) > 0)
                .flatMap(Collection::stream)
                .toList();
        assertThat(wrong).as("requests refused as not run that ran").isEmpty();
    }

    void checkAnswersAreWhole() {
        check(
                "answers that are not those of their request",
                attempt -> attempt.answered() && !Callers.isAnswerTo(attempt));
    }

    /** Fails if any attempt matches. */
    void check(String description, Predicate<Attempt> wrong) {
        assertThat(attempts.stream().filter(wrong).limit(SHOWN).toList())
                .as(description)
                .isEmpty();
    }

    static void checkAnswered(Collection<Attempt> sent, int percent) {
        List<Attempt> unanswered =
                sent.stream().filter(attempt -> !attempt.answered()).toList();
        assertThat(sent).as("attempts in the observed time").isNotEmpty();
        assertThat(100.0 * (sent.size() - unanswered.size()) / sent.size())
                .as("percent answered; unanswered: %s", summary(unanswered))
                .isGreaterThanOrEqualTo(percent);
    }

    private static Map<String, Long> summary(List<Attempt> some) {
        return some.stream()
                .collect(Collectors.groupingBy(
                        attempt -> attempt.host() + " " + attempt.status() + " " + attempt.kind() + attempt.failure(),
                        Collectors.counting()));
    }
}
