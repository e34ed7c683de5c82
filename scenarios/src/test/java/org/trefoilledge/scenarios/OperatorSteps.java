package org.trefoilledge.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.trefoilledge.core.config.Change;
import org.trefoilledge.core.config.LogEntry;

/** Steps of operators, who grant and withdraw keys, and checks of what is in force. */
public class OperatorSteps {
    private static final int DONE = 0;
    private static final int REJECTED = 1;
    private static final int OUTCOME_UNKNOWN = 3;
    private static final int KEY_ACCEPTED = 200;
    private static final int KEY_REFUSED = 401;
    private static final int IN_FORCE_SECONDS = 18;
    private static final int POLL_MILLIS = 100;
    private static final String LAST_KEY = "key-that-is-granted-last";

    /** Exit code of the command that granted each key. */
    private final Map<String, Integer> grants = new ConcurrentHashMap<>();

    private static World world() {
        return World.current();
    }

    @When("an operator grants {int} keys one after the other")
    public void grant(int keys) throws IOException {
        grant(world(), "only", keys);
    }

    @When("{int} operators grant {int} keys each at the same time")
    public void grantAtOnce(int operators, int keys) throws Exception {
        World shared = world();
        ExecutorService threads = Executors.newFixedThreadPool(operators);
        try {
            List<Callable<Void>> tasks = new ArrayList<>();
            for (int i = 0; i < operators; i++) {
                String operator = "operator-" + i;
                tasks.add(() -> grant(shared, operator, keys));
            }
            for (Future<Void> done : threads.invokeAll(tasks)) {
                done.get();
            }
        } finally {
            threads.shutdown();
        }
    }

    private Void grant(World shared, String operator, int keys) throws IOException {
        for (int i = 0; i < keys; i++) {
            String key = "granted-key-of-" + operator + "-" + grants.size() + "-" + i;
            Fleet.CommandResult result = shared.fleet().operator("grant", key);
            assertThat(result.exitCode()).as(result.output()).isIn(DONE, REJECTED, OUTCOME_UNKNOWN);
            grants.put(key, result.exitCode());
        }
        return null;
    }

    @When("the key of the callers is withdrawn")
    public void withdraw() throws IOException {
        Fleet.CommandResult result = world().fleet().operator("withdraw", Fleet.KEY);
        assertThat(result.exitCode()).as(result.output()).isEqualTo(DONE);
    }

    @Then("nothing runs with the key {int} seconds later")
    public void nothingRuns(int seconds) throws InterruptedException {
        TimeUnit.SECONDS.sleep(seconds);
        long before = world().fleet().executionsOn("");
        TimeUnit.SECONDS.sleep(2);
        assertThat(world().fleet().executionsOn("")).as("executions").isEqualTo(before);
    }

    @Then("the open connections get refusals of kind KEY_UNKNOWN")
    public void refusals() throws InterruptedException {
        List<Attempt> sent = world().callers().observe(1);
        assertThat(sent).isNotEmpty().allMatch(attempt -> attempt.kind().equals("KEY_UNKNOWN"));
    }

    @Then("each change that was reported as done is in force and each rejected one is not")
    public void reportsAreTrue() throws Exception {
        latestRevisionEverywhere();
        for (Map.Entry<String, Integer> grant : grants.entrySet()) {
            List<Integer> statuses = new ArrayList<>();
            for (String host : world().fleet().hosts()) {
                statuses.add(world().callers().statusWithKey(host, grant.getKey()));
            }
            assertThat(statuses)
                    .as("status on each host with a key whose grant ended with exit code " + grant.getValue())
                    .containsOnly(expected(grant.getValue(), statuses));
        }
    }

    /** A change with an unknown outcome may be in force or not, but must be the same on all hosts. */
    private static int expected(int exitCode, List<Integer> statuses) {
        if (exitCode == OUTCOME_UNKNOWN) {
            assertThat(statuses.get(0)).isIn(KEY_ACCEPTED, KEY_REFUSED);
            return statuses.get(0);
        }
        return exitCode == DONE ? KEY_ACCEPTED : KEY_REFUSED;
    }

    @Then("no change is in the log twice")
    public void noChangeTwice() throws Exception {
        List<Change> granted = new ArrayList<>();
        for (LogEntry entry : StoreLog.read(world().fleet().store())) {
            entry.changes().stream().filter(Change.GrantKey.class::isInstance).forEach(granted::add);
        }
        assertThat(granted).as("grants in the log").doesNotHaveDuplicates();
    }

    @Then("all hosts have the latest revision")
    public void latestRevisionEverywhere() throws Exception {
        awaitRevision(latest());
    }

    @Then("a change of an operator is in force on every host within {int} seconds")
    public void changeIsInForce(int seconds) throws Exception {
        Fleet.CommandResult result = world().fleet().operator("grant", LAST_KEY);
        assertThat(result.exitCode()).as(result.output()).isEqualTo(DONE);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (String host : world().fleet().hosts()) {
            while (world().callers().statusWithKey(host, LAST_KEY) != KEY_ACCEPTED) {
                assertThat(System.nanoTime()).as("time on " + host).isLessThan(end);
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    @Then("the latest revision stays in force on every host for {int} seconds")
    public void revisionStays(int seconds) throws Exception {
        long before = world().fleet().revision(world().fleet().hosts().get(0));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            for (String host : world().fleet().hosts()) {
                assertThat(world().fleet().revision(host))
                        .as("revision of " + host)
                        .isEqualTo(before);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static long latest() throws Exception {
        List<LogEntry> log = StoreLog.read(world().fleet().store());
        return log.get(log.size() - 1).revision();
    }

    private static void awaitRevision(long revision) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(IN_FORCE_SECONDS);
        for (String host : world().fleet().hosts()) {
            while (world().fleet().revision(host) < revision) {
                assertThat(System.nanoTime())
                        .as("time of revision %d on %s", revision, host)
                        .isLessThan(end);
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }
}
