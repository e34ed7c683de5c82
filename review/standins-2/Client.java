import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A sound client with one kept connection: it sends a request, reads the whole answer, and sends the next one. */
final class Client implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime() & 0xffffffL);

    /** How a request ended. */
    enum End {
        ANSWERED,
        /** The connection ended without a complete answer. */
        CLOSED,
        /** No complete answer within the time that the client waited. */
        SILENT,
        /** No connection could be opened, so that nothing was sent. */
        NOT_CONNECTED
    }

    /** The end of a request; status and body only if it was answered. */
    record Outcome(
            String id, End end, int status, String signature, byte[] body, long sentMillis, long endMillis) {}

    private final Host host;
    private final RunLog record;
    private Socket socket;
    private InputStream in;

    Client(Host host, RunLog record) {
        this.host = host;
        this.record = record;
    }

    static String newId() {
        return String.format("%016x", LAST_ID.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static String head(String method, String hostName, String path, String id, long deadlineMillis, int bodyBytes) {
        String length = method.equals("GET") ? "" : "Content-Length: " + bodyBytes + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\n" + length + "\r\n";
    }

    /** Sends a request and waits for its answer. */
    Outcome send(String method, String hostName, String path, long deadlineMillis, long waitMillis, byte[] body) {
        String id = newId();
        long sent = record.millis();
        boolean fresh = socket == null;
        try {
            if (fresh) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(host.ip(), Host.OUTBOUND), CONNECT_MILLIS);
                in = new BufferedInputStream(socket.getInputStream(), 16_384);
            }
        } catch (IOException e) {
            close();
            return new Outcome(id, End.NOT_CONNECTED, 0, "", new byte[0], sent, record.millis());
        }
        try {
            byte[] head = head(method, hostName, path, id, deadlineMillis, body.length).getBytes(StandardCharsets.US_ASCII);
            byte[] whole = Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, whole, head.length, body.length);
            socket.getOutputStream().write(whole);
            socket.setSoTimeout((int) Math.max(1, waitMillis));
            Map<String, String> answer = Backend.readHead(in);
            if (answer == null) {
                close();
                return new Outcome(id, End.CLOSED, 0, "", new byte[0], sent, record.millis());
            }
            int length = Integer.parseInt(answer.getOrDefault("content-length", "0"));
            byte[] read = in.readNBytes(length);
            if (read.length < length) {
                close();
                return new Outcome(id, End.CLOSED, 0, "", read, sent, record.millis());
            }
            if (answer.getOrDefault("connection", "").equalsIgnoreCase("close")) {
                close();
            }
            int status = Integer.parseInt(answer.get("").split(" ")[1]);
            String signature = answer.getOrDefault("response-signature", "");
            return new Outcome(id, End.ANSWERED, status, signature, read, sent, record.millis());
        } catch (SocketTimeoutException e) {
            close();
            return new Outcome(id, End.SILENT, 0, "", new byte[0], sent, record.millis());
        } catch (IOException e) {
            close();
            return new Outcome(id, End.CLOSED, 0, "", new byte[0], sent, record.millis());
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                record.line("cannot close a connection: " + e.getMessage());
            }
            socket = null;
        }
    }
}
