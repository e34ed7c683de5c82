package org.trefoilledge.node;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.trefoilledge.core.Importance;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.RequestId;
import org.trefoilledge.core.config.KeyDigest;
import org.trefoilledge.core.config.Route;

/** One request on its way through the filters of the node that it entered. Filters fill in what they find out. */
final class Exchange {
    /** Stands for callers of open routes, who present no key. */
    static final OrganisationId ANONYMOUS = new OrganisationId("anonymous");

    private final String id =
            HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    private final String method;
    private final String target;
    private final byte[] body;
    private final long receivedMillis;
    private final Optional<CallContext> parent;
    private final AtomicInteger budget = new AtomicInteger();
    private final List<Runnable> cancellations = new CopyOnWriteArrayList<>();
    private List<Answer.Header> headers;
    private volatile boolean cancelled;
    private Snapshot snapshot;
    private Route route;
    private OrganisationId organisation = ANONYMOUS;
    private Optional<KeyDigest> key = Optional.empty();
    private Importance importance = Importance.NORMAL;
    private int rootHash = ThreadLocalRandom.current().nextInt(1024);
    private int depth = 1;
    private long deadlineMillis;
    private Optional<RequestId> requestId = Optional.empty();

    Exchange(
            String method,
            String target,
            List<Answer.Header> headers,
            byte[] body,
            Optional<CallContext> parent,
            long now) {
        this.method = method;
        this.target = target;
        this.headers = List.copyOf(headers);
        this.body = body;
        this.parent = parent;
        this.receivedMillis = now;
    }

    String id() {
        return id;
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    byte[] body() {
        return body;
    }

    long receivedMillis() {
        return receivedMillis;
    }

    Optional<CallContext> parent() {
        return parent;
    }

    List<Answer.Header> headers() {
        return headers;
    }

    void headers(List<Answer.Header> changed) {
        headers = List.copyOf(changed);
    }

    /** Returns the values of a header, compared without case. */
    List<String> values(String name) {
        List<String> values = new ArrayList<>(1);
        for (Answer.Header header : headers) {
            if (header.name().equalsIgnoreCase(name)) {
                values.add(header.value());
            }
        }
        return values;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    void snapshot(Snapshot current) {
        snapshot = current;
    }

    Route route() {
        return route;
    }

    void route(Route found) {
        route = found;
    }

    OrganisationId organisation() {
        return organisation;
    }

    void organisation(OrganisationId bound) {
        organisation = bound;
    }

    Optional<KeyDigest> key() {
        return key;
    }

    void key(KeyDigest digest) {
        key = Optional.of(digest);
    }

    void key(Optional<KeyDigest> digest) {
        key = digest;
    }

    Importance importance() {
        return importance;
    }

    void importance(Importance inherited) {
        importance = inherited;
    }

    int rootHash() {
        return rootHash;
    }

    void rootHash(int inherited) {
        rootHash = inherited;
    }

    int depth() {
        return depth;
    }

    void depth(int levels) {
        depth = levels;
    }

    AtomicInteger budget() {
        return budget;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    void deadlineMillis(long deadline) {
        deadlineMillis = deadline;
    }

    Optional<RequestId> requestId() {
        return requestId;
    }

    void requestId(RequestId given) {
        requestId = Optional.of(given);
    }

    /** Registers what passes a cancellation on to the stage that works on the request now. */
    void onCancel(Runnable action) {
        cancellations.add(action);
        if (cancelled) {
            action.run();
        }
    }

    void cancel() {
        cancelled = true;
        cancellations.forEach(Runnable::run);
    }

    boolean cancelled() {
        return cancelled;
    }
}
