package org.trefoilledge.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Steps that cause faults and planned stops of the chosen host, its zone and the store. */
public class FaultSteps {
    private static World world() {
        return World.current();
    }

    private static String host() {
        return world().chosenHost();
    }

    /** The callers learn of it from their next attempts, like those of a real host that failed. */
    @When("the chosen host is killed")
    public void kill() {
        world().callers().avoid(host());
        world().fleet().kill(host());
    }

    @When("the chosen host is killed meanwhile")
    public void killMeanwhile() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(500 + world().random().nextInt(1_500));
        world().fleet().kill(host());
    }

    @When("the chosen host is frozen meanwhile for {int} seconds")
    public void freezeMeanwhile(int seconds) throws InterruptedException, IOException {
        TimeUnit.MILLISECONDS.sleep(500 + world().random().nextInt(1_000));
        world().fleet().freeze(host());
        TimeUnit.SECONDS.sleep(seconds);
        world().fleet().resume(host());
    }

    @When("the chosen zone is partitioned")
    public void partition() throws IOException {
        world().fleet().partition(world().fleet().zone(host()));
    }

    @When("the partition heals")
    public void heal() throws IOException {
        world().fleet().heal();
    }

    @When("the store goes down")
    public void storeDown() {
        world().fleet().store().apply(world().fleet().store().faults().withDown(true));
    }

    @When("the store comes back")
    public void storeUp() {
        world().fleet().store().apply(world().fleet().store().faults().withDown(false));
    }

    @When("the store loses every second answer to a write")
    public void loseAnswers() {
        world().fleet().store().apply(world().fleet().store().faults().withLoseWriteAnswers(0.5));
    }

    @When("the store is copied")
    public void copyStore() {
        world().fleet().store().save();
    }

    @When("the store is restored from the copy")
    public void restoreStore() {
        world().fleet().store().restore();
    }

    @When("the upstream of the chosen host announces that it drains")
    public void drainUpstream() {
        world().fleet().drainUpstream(host());
    }

    @When("the chosen host is stopped")
    public void stop() throws IOException {
        world().fleet().stop(host());
    }

    @When("every host is stopped and replaced in turn")
    public void replaceAll() throws IOException, InterruptedException {
        for (String host : List.copyOf(world().fleet().hosts())) {
            world().fleet().stop(host);
            world().fleet().replace(host);
            TimeUnit.SECONDS.sleep(1);
        }
    }

    @Then("nothing runs on the chosen host in the next {int} seconds")
    public void nothingRuns(int seconds) throws InterruptedException {
        long before = executions();
        TimeUnit.SECONDS.sleep(seconds);
        assertThat(executions()).as("executions on " + host()).isEqualTo(before);
    }

    private static long executions() {
        return world().fleet().executionsOn(host());
    }
}
