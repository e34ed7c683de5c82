package org.trefoilledge.sidecar;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Requests whose path names the work of the upstream and the length of its answer, for tests of planned stops. */
final class StopCallers {
    private StopCallers() {}

    /** Works for the time that the path names, then answers with as many bytes as it names. */
    static void work(String head, Socket socket, OutputStream out) throws IOException {
        String[] parts = head.split(" ", 3)[1].split("/", -1);
        pause(Long.parseLong(parts[2]));
        UpstreamStub.write(
                out, UpstreamStub.response(TestFleet.requestId(head), "x".repeat(Integer.parseInt(parts[3]))));
    }

    static String request(String id, long workMillis, int bytes) {
        return "GET /tracking/" + workMillis + "/" + bytes + " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + TestHeaders.HEADERS.requestId() + ": " + id + "\r\n" + TestHeaders.HEADERS.key() + ": k1\r\n\r\n";
    }

    static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        caller.getOutputStream().flush();
    }

    /** Returns the number of whole answers; pauses after each of them. */
    static int countAnswers(Socket caller, int answers, int bytes, long pauseMillis) throws IOException {
        DataInputStream in = new DataInputStream(caller.getInputStream());
        for (int i = 0; i < answers; i++) {
            try {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    head.append((char) in.readUnsignedByte());
                }
                in.readFully(new byte[bytes]);
            } catch (IOException e) {
                // The connection has ended inside an answer.
                return i;
            }
            pause(pauseMillis);
        }
        return answers;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
