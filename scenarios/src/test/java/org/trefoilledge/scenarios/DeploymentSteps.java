package org.trefoilledge.scenarios;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.concurrent.TimeUnit;

/** Steps that start and end a deployment, and the checks that hold for every scenario. */
public class DeploymentSteps {
    @Given("a deployment of {int} zone(s) with {int} host(s) each, seed {long}")
    public void start(int zones, int hosts, long seed) throws Exception {
        World.begin(LoopbackFleet.start(zones, hosts), seed);
    }

    @Given("upstreams that take {int} milliseconds for a request")
    public void upstreams(int millis) {
        World.current().fleet().slowDown(millis / LoopbackHost.SERVICE_MILLIS);
    }

    @When("{int} second(s) pass(es)")
    public void pass(int seconds) throws InterruptedException {
        TimeUnit.SECONDS.sleep(seconds);
    }

    /** Whatever the faults were: one run for each order, true refusals, whole answers. */
    @After
    public void check() {
        try {
            World world = World.current();
            if (world != null) {
                world.callers().close();
                world.ledger().checkNoOrderRanTwice(world.fleet()::executions);
                world.ledger().checkRefusalsAreTrue(world.fleet()::executions);
                world.ledger().checkAnswersAreWhole();
            }
        } finally {
            World.end();
        }
    }
}
