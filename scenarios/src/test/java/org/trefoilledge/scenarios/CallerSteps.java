package org.trefoilledge.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Steps of callers: what they send and what they get. */
public class CallerSteps {
    private static final int BURST_PER_SECOND = 150;
    private static final List<String> BOTH_PROTOCOLS = List.of("HTTP/1.1", "HTTP/2");
    private static final String HTTP_1 = "HTTP/1.1";

    private Thread repeats;

    private static World world() {
        return World.current();
    }

    @When("callers send {int} requests through all hosts")
    public void send(int count) throws InterruptedException {
        world().callers().protocols(BOTH_PROTOCOLS);
        world().callers().send(count, BURST_PER_SECOND);
    }

    @When("callers send {int} requests a second")
    @When("callers send {int} requests a second on open connections")
    public void start(int perSecond) {
        world().callers().start(perSecond);
    }

    @When("callers send {int} requests a second over HTTP\\/1.1 and HTTP\\/2")
    public void startBoth(int perSecond) {
        world().callers().protocols(BOTH_PROTOCOLS);
        start(perSecond);
    }

    /** Sends each id again and again through all hosts, in the background. */
    @When("callers repeat {int} orders through all hosts for {int} seconds")
    public void repeat(int orders, int seconds) {
        World current = world();
        repeats = new Thread(() -> repeat(current, orders, seconds), "repeats");
        repeats.start();
    }

    private static void repeat(World world, int orders, int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        int round = 0;
        while (System.nanoTime() < end) {
            // Ten ids at a time, so that some are new when the fault comes and some have ended.
            int first = 10 * round++ % orders;
            List<CompletableFuture<Attempt>> open = new ArrayList<>();
            for (int i = first; i < Math.min(orders, first + 10); i++) {
                for (String host : world.fleet().hosts()) {
                    open.add(world.callers().order(host, HTTP_1, "repeated-" + i, true));
                }
            }
            CompletableFuture.anyOf(open.toArray(CompletableFuture[]::new)).join();
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitRepeats() throws InterruptedException {
        if (repeats != null) {
            repeats.join();
        }
        world().callers().awaitOpen();
    }

    @Then("repeats that were answered had the same answer")
    public void sameAnswers() throws InterruptedException {
        awaitRepeats();
        Map<String, Set<String>> bodies = world().ledger().attempts().stream()
                .filter(attempt -> attempt.order() && attempt.answered())
                .collect(Collectors.groupingBy(
                        Attempt::id, Collectors.mapping(Attempt::body, Collectors.toCollection(HashSet::new))));
        assertThat(bodies).as("answered orders").isNotEmpty();
        assertThat(bodies.values()).as("answers of each id").allMatch(answers -> answers.size() == 1);
    }

    @Then("every request was answered")
    public void everyRequestWasAnswered() {
        world().callers().awaitOpen();
        world().ledger().check("requests without an answer", attempt -> !attempt.answered());
    }

    @Then("every request that was not refused as not run was answered")
    public void everyRequestWasAnsweredOrRefused() {
        world().callers().awaitOpen();
        world().ledger()
                .check(
                        "requests without an answer or a refusal that says not run",
                        attempt -> !attempt.answered() && !attempt.refusedAsNotRun());
    }

    @Then("no request was interrupted")
    public void noRequestWasInterrupted() {
        world().callers().awaitOpen();
        world().ledger().check("requests whose connection broke", Attempt::interrupted);
    }

    @Then("requests ran on every host")
    public void ranOnEveryHost() {
        for (String host : world().fleet().hosts()) {
            assertThat(world().fleet().executionsOn(host))
                    .as("executions on " + host)
                    .isPositive();
        }
    }

    @Then("{int} percent of the {word} of the next {int} seconds are answered")
    public void answered(int percent, String what, int seconds) throws InterruptedException {
        List<Attempt> sent = world().callers().observe(seconds);
        Ledger.checkAnswered(
                sent.stream().filter(attempt -> matches(attempt, what)).toList(), percent);
    }

    private static boolean matches(Attempt attempt, String what) {
        return switch (what) {
            case "requests" -> true;
            case "orders" -> attempt.order();
            case "lookups" -> !attempt.order();
            default -> throw new IllegalArgumentException("expected requests, orders or lookups, but was: " + what);
        };
    }

    @Then("orders whose id names the zone of their host are answered")
    public void ordersOfOwnZone() {
        List<Attempt> ended = new ArrayList<>();
        for (String host : world().fleet().hosts()) {
            for (int i = 0; i < 10; i++) {
                String id = world().fleet().zone(host) + "~own-" + i;
                ended.add(world().callers().order(host, HTTP_1, id, true).join());
            }
        }
        Ledger.checkAnswered(ended, 100);
    }

    /** New orders through all hosts until every one of two seconds is answered. */
    @Then("orders for {int} seconds are answered after at most {int} seconds")
    public void ordersAreAnsweredAgain(int seconds, int atMost) throws InterruptedException {
        awaitRepeats();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(atMost);
        long good = System.nanoTime();
        for (int i = 0; System.nanoTime() - good < TimeUnit.SECONDS.toNanos(seconds); i++) {
            for (String host : world().fleet().hosts()) {
                String id = UUID.nameUUIDFromBytes(new byte[] {(byte) i}) + host;
                if (!world().callers().order(host, HTTP_1, id, true).join().answered()) {
                    good = System.nanoTime();
                }
            }
            assertThat(good).as("time of the last order without an answer").isLessThan(end);
            pause();
        }
    }
}
