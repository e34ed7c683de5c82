import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A client that sends safe requests at an even pace on a kept connection, before the earlier ones are answered. */
final class Pipeliner {
    private static final int MAX_AHEAD = 8;
    private static final long RECONNECT_MILLIS = 500;

    private final Host host;
    private final RunLog record;
    private final String hostName;
    private final String path;
    private final long deadlineMillis;
    private final long paceMillis;
    /** Statuses of the answers. */
    private final Map<String, Integer> statuses = new TreeMap<>();
    /** For each connection that the system closed, the requests that had no complete answer. */
    private final List<List<String>> closedWith = new ArrayList<>();

    Pipeliner(Host host, RunLog record, String hostName, String path, long deadlineMillis, long paceMillis) {
        this.host = host;
        this.record = record;
        this.hostName = hostName;
        this.path = path;
        this.deadlineMillis = deadlineMillis;
        this.paceMillis = paceMillis;
    }

    /** Sends requests until the given time of the record. */
    void run(long endMillis) {
        while (record.millis() < endMillis) {
            Deque<String> open = new ArrayDeque<>();
            try (Socket socket = new Socket()) {
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(host.ip(), Host.OUTBOUND), 1_000);
                Thread reader = Daemon.thread(() -> read(socket, open));
                reader.start();
                OutputStream out = socket.getOutputStream();
                while (record.millis() < endMillis && reader.isAlive()) {
                    String id = Client.newId();
                    if (tryOpen(open, id)) {
                        out.write(Client.head("GET", hostName, path, id, deadlineMillis, 0)
                                .getBytes(StandardCharsets.US_ASCII));
                    }
                    Daemon.sleep(paceMillis);
                }
                reader.join(deadlineMillis);
            } catch (IOException e) {
                record.line("a connection of a pipelining client: " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
            Daemon.sleep(RECONNECT_MILLIS);
        }
    }

    private static boolean tryOpen(Deque<String> open, String id) {
        synchronized (open) {
            return open.size() < MAX_AHEAD && open.add(id);
        }
    }

    private void read(Socket socket, Deque<String> open) {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16_384);
            for (Map<String, String> head = Backend.readHead(in); head != null; head = Backend.readHead(in)) {
                int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
                if (in.readNBytes(length).length < length) {
                    break;
                }
                synchronized (open) {
                    String id = open.poll();
                    String status = head.get("").split(" ")[1];
                    statuses.merge(status, 1, Integer::sum);
                    record.line(id + " answered " + status);
                }
            }
        } catch (IOException e) {
            record.line("a connection of a pipelining client: " + e.getMessage());
        }
        synchronized (open) {
            if (!socket.isClosed()) {
                closedWith.add(List.copyOf(open));
                record.line("the system closed a connection with the unanswered requests " + open);
            }
        }
    }

    Map<String, Integer> statuses() {
        return statuses;
    }

    List<List<String>> closedWith() {
        return closedWith;
    }
}
