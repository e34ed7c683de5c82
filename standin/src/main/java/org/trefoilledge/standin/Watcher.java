package org.trefoilledge.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.eclipse.jetty.util.Callback;

/** An open watch. Streams each event in its key range to the client as a line of JSON, in order. */
final class Watcher {
    private final Exchange exchange;
    private final String rangeStart;
    private final String rangeEnd;
    private final Queue<byte[]> pendingLines = new ArrayDeque<>();
    private boolean writing;
    private boolean closed;

    Watcher(Exchange exchange, String rangeStart, String rangeEnd) {
        this.exchange = exchange;
        this.rangeStart = rangeStart;
        this.rangeEnd = rangeEnd;
    }

    String clientHeader() {
        return exchange.header(StoreStandin.CLIENT_HEADER);
    }

    void sendCreated(ObjectNode header) {
        ObjectNode result = EtcdGateway.newObject().put("watch_id", "0").put("created", true);
        result.set("header", header);
        enqueue(result);
    }

    void sendEvent(KeyValueStore.KeyValue item, ObjectNode header) {
        if (!KeyValueStore.inRange(item.key(), rangeStart, rangeEnd)) {
            return;
        }
        ObjectNode result = EtcdGateway.newObject().put("watch_id", "0");
        result.set("header", header);
        result.putArray("events").addObject().set("kv", EtcdGateway.toJson(item));
        enqueue(result);
    }

    private void enqueue(ObjectNode result) {
        ObjectNode message = EtcdGateway.newObject();
        message.set("result", result);
        synchronized (this) {
            pendingLines.add((message + "\n").getBytes(StandardCharsets.UTF_8));
        }
        writeNext();
    }

    private void writeNext() {
        byte[] line;
        synchronized (this) {
            if (writing || closed || pendingLines.isEmpty()) {
                return;
            }
            writing = true;
            line = pendingLines.remove();
        }
        exchange.response().write(false, ByteBuffer.wrap(line), Callback.from(this::onLineWritten, failure -> close()));
    }

    private void onLineWritten() {
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
