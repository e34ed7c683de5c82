package org.trefoilledge.scenarios;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import org.trefoilledge.standin.StoreStandin;

/** A deployment of nodes with their upstreams and the store, on loopback, with the faults that scenarios cause. */
interface Fleet extends AutoCloseable {
    /** The organisation that sends all requests, and its key. */
    String ORGANISATION = "sunrise-school";

    String KEY = "sample-key-sunrise-school";

    /** Returns the hosts that have not been killed or stopped, in a fixed order. */
    List<String> hosts();

    /** Returns the zone of a host. */
    String zone(String host);

    /** Returns the address at which callers reach the node of a host. */
    URI callers(String host);

    /** Returns the stand-in of the store. */
    StoreStandin store();

    /** Returns how often the upstreams ran a request, by its id. */
    int executions(String id);

    /** Returns how many requests the upstreams of a host, or of all hosts if it is empty, have run. */
    long executionsOn(String host);

    /** Changes how long every upstream takes for a request, relative to {@link LoopbackHost#SERVICE_MILLIS}. */
    void slowDown(double factor);

    /** Lets the upstream of a host announce that it drains. */
    void drainUpstream(String host);

    /** Ends the node and the upstream of a host at once, like a failed host. */
    void kill(String host);

    /** Stops the execution of a node's process without ending it. */
    void freeze(String host) throws IOException;

    /** Lets a frozen process continue. */
    void resume(String host) throws IOException;

    /** Stops a node as planned, waits for its end and stops its upstream. */
    void stop(String host) throws IOException;

    /** Starts a stopped host again, as a new incarnation at the same addresses, and waits until it serves. */
    void replace(String host) throws IOException;

    /** Cuts a zone off from all other zones and from the store. */
    void partition(String zone) throws IOException;

    /** Ends all partitions. */
    void heal() throws IOException;

    /** Returns the configuration revision in force at a host. */
    long revision(String host) throws IOException;

    /** Runs a command of the operator that takes a file with a key, against the store. */
    CommandResult operator(String command, String key) throws IOException;

    @Override
    void close();

    /** Exit code and output of a command. */
    record CommandResult(int exitCode, String output) {}
}
