package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.util.Callback;

/** A waiting watch: writes one line of JSON for each event, one after the other. */
final class Watcher {
    private final Exchange exchange;
    private final String first;
    private final String end;
    private final Queue<byte[]> lines = new ArrayDeque<>();
    private boolean writing;
    private boolean closed;

    Watcher(Exchange exchange, String first, String end) {
        this.exchange = exchange;
        this.first = first;
        this.end = end;
    }

    String client() {
        return exchange.header(StoreStandin.CLIENT_HEADER);
    }

    void created(ObjectNode header) {
        ObjectNode result = Gateway.object().put("watch_id", "0").put("created", true);
        result.set("header", header);
        send(result);
    }

    void event(KeyValues.Item item, ObjectNode header) {
        if (!KeyValues.within(item.key(), first, end)) {
            return;
        }
        ObjectNode result = Gateway.object().put("watch_id", "0");
        result.set("header", header);
        result.putArray("events").addObject().set("kv", Gateway.json(item));
        send(result);
    }

    private void send(ObjectNode result) {
        ObjectNode message = Gateway.object();
        message.set("result", result);
        synchronized (this) {
            lines.add((message + "\n").getBytes(StandardCharsets.UTF_8));
        }
        writeNext();
    }

    private void writeNext() {
        byte[] line;
        synchronized (this) {
            if (writing || closed || lines.isEmpty()) {
                return;
            }
            writing = true;
            line = lines.remove();
        }
        exchange.response().write(false, ByteBuffer.wrap(line), Callback.from(this::written, failure -> close()));
    }

    private void written() {
        synchronized (this) {
            writing = false;
        }
        writeNext();
    }

    void close() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        exchange.abort();
    }

    synchronized boolean closed() {
        return closed;
    }
}
