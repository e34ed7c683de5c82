package org.trefoilledge.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Sends the load of an experiment. The intended send times are fixed in advance (open loop); latency is counted from
 * them, so a stalled system does not hide its delay.
 */
final class Driver implements AutoCloseable {
    private static final int CONNECTIONS_PER_NODE = 1_024;
    private static final int CLIENT_THREADS = 24;
    private static final int MAX_REDIRECTS = 0;
    /** Extra wait at the end of a run for retries that were scheduled just before it. */
    private static final long LAST_RETRY_GRACE_MILLIS = 2_000;

    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Experiment experiment;
    private final RunRecorder recorder;
    private final HttpClient client;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "load-retries");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger openRoots = new AtomicInteger();
    private long startNanos;

    Driver(Experiment experiment, RunRecorder recorder) throws Exception {
        this.experiment = experiment;
        this.recorder = recorder;
        this.client = newClient();
    }

    private static HttpClient newClient() throws Exception {
        HttpClient client = new HttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS);
        threads.setDaemon(true);
        threads.setName("load-client");
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(CONNECTIONS_PER_NODE);
        client.setMaxRequestsQueuedPerDestination(CONNECTIONS_PER_NODE * 8);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setMaxRedirects(MAX_REDIRECTS);
        client.start();
        return client;
    }

    private record Source(CallerGroup group, Arrivals arrivals, SplittableRandom random, double next) {
        Source advance() {
            return new Source(group, arrivals, random, arrivals.next());
        }
    }

    /** Starts the clock of the run. Times of requests and actions count from here. */
    void start() {
        startNanos = System.nanoTime();
    }

    /**
     * Sends requests until the duration of the experiment is over, then waits for the open ones up to their deadline.
     *
     * @throws InterruptedException if the thread is interrupted; requests stop then
     */
    void run() throws InterruptedException {
        PriorityQueue<Source> sources = new PriorityQueue<>(Comparator.comparingDouble(Source::next));
        sources.addAll(sources());
        long root = 0;
        while (!sources.isEmpty() && sources.peek().next() < experiment.durationSeconds()) {
            Source source = sources.poll();
            waitUntil(source.next());
            sendRequest(root++, source);
            sources.add(source.advance());
        }
        waitUntil(experiment.durationSeconds());
        waitForOpenRequests();
    }

    private List<Source> sources() {
        SplittableRandom seeds = new SplittableRandom(experiment.seed());
        List<Source> sources = new ArrayList<>();
        for (CallerGroup group : experiment.groups()) {
            SplittableRandom random = seeds.split();
            Arrivals arrivals = new Arrivals(group.rate(), group.shape(), experiment.uniform(), seeds.split());
            if (group.rate() > 0) {
                sources.add(new Source(group, arrivals, random, arrivals.next()));
            }
        }
        return sources;
    }

    private void sendRequest(long root, Source source) {
        openRoots.incrementAndGet();
        RouteLoad route = source.group().pickRoute(source.random());
        RetryingRequest caller = new RetryingRequest(
                this,
                root,
                source.group(),
                route,
                source.next(),
                source.random().split());
        caller.sendAttempt();
    }

    private void waitUntil(double seconds) throws InterruptedException {
        long deadline = startNanos + (long) (seconds * 1e9);
        while (System.nanoTime() < deadline) {
            if (Thread.interrupted()) {
                throw new InterruptedException("the run was interrupted");
            }
            LockSupport.parkNanos(deadline - System.nanoTime());
        }
    }

    private void waitForOpenRequests() throws InterruptedException {
        long deadline = System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(2 * experiment.deadlineMillis() + LAST_RETRY_GRACE_MILLIS);
        while (openRoots.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
    }

    Experiment experiment() {
        return experiment;
    }

    RunRecorder recorder() {
        return recorder;
    }

    HttpClient client() {
        return client;
    }

    long elapsedMicros() {
        return (System.nanoTime() - startNanos) / 1_000;
    }

    double elapsedSeconds() {
        return elapsedMicros() / 1e6;
    }

    /** Reserves an in-flight slot for an attempt; returns false if the limit is reached. */
    boolean tryAcquireSlot() {
        if (inFlight.incrementAndGet() <= experiment.maxInFlight()) {
            return true;
        }
        inFlight.decrementAndGet();
        return false;
    }

    void releaseSlot() {
        inFlight.decrementAndGet();
    }

    /** Records a root request that has no further retries. */
    void recordFinished(RootRequest root) {
        recorder.recordFinished(root);
        openRoots.decrementAndGet();
    }

    boolean durationElapsed() {
        return elapsedSeconds() >= experiment.durationSeconds();
    }

    void schedule(Duration delay, Runnable task) {
        var unused = timer.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws Exception {
        timer.shutdownNow();
        client.stop();
    }
}
