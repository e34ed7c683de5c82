package org.trefoilledge.wire;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.trefoilledge.wire.generated.Envelope;

/** A peer on a plain socket, which writes exactly the bytes that a test specifies. */
final class RawPeer implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private final Socket socket;
    private final DataInputStream in;

    private RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        socket.setSoTimeout(TIMEOUT_MILLIS);
    }

    static ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.setSoTimeout(TIMEOUT_MILLIS);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return server;
    }

    static String address(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts a connection and exchanges identities. */
    static RawPeer accept(ServerSocket server, PeerIdentity self) throws IOException {
        RawPeer peer = acceptWithoutHello(server);
        peer.read();
        peer.write(encodeFrame(helloEnvelope(self)));
        return peer;
    }

    /** Accepts a connection without reading or sending anything. */
    static RawPeer acceptWithoutHello(ServerSocket server) throws IOException {
        return new RawPeer(server.accept());
    }

    /** Opens a connection without sending anything. */
    static RawPeer connect(String address) throws IOException {
        return new RawPeer(new Socket(
                InetAddress.getLoopbackAddress(), PeerAddress.parse(address).getPort()));
    }

    static Envelope helloEnvelope(PeerIdentity self) {
        return Envelope.newBuilder().setHello(self.toHello()).build();
    }

    /** Returns a response that repeats the target and the body of a request. */
    static Envelope responseEnvelope(Envelope request) {
        return PeerTestSupport.echoResponse(request).toBuilder()
                .setStream(request.getStream())
                .setResponse(true)
                .build();
    }

    static byte[] encodeFrame(Envelope envelope) {
        byte[] message = envelope.toByteArray();
        CRC32C checksum = new CRC32C();
        checksum.update(message);
        return encodeFrame(message.length, (int) checksum.getValue(), message);
    }

    /** Returns a frame with the given length and checksum, which need not match the message. */
    static byte[] encodeFrame(long length, int checksum, byte[] message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        long remaining = length;
        while (remaining > 0x7F) {
            out.write((int) (remaining & 0x7F) | 0x80);
            remaining >>>= 7;
        }
        out.write((int) remaining);
        out.writeBytes(ByteBuffer.allocate(4).putInt(checksum).array());
        out.writeBytes(message);
        return out.toByteArray();
    }

    /** Reads one frame without verifying its checksum. */
    Envelope read() throws IOException {
        int length = 0;
        int shift = 0;
        int next;
        do {
            next = in.readUnsignedByte();
            length |= (next & 0x7F) << shift;
            shift += 7;
        } while (next > 0x7F);
        in.readInt();
        return Envelope.parseFrom(in.readNBytes(length));
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Waits until the other side closes the connection; returns false if that takes longer than 10 s. */
    boolean awaitClosedByPeer() throws IOException {
        try {
            in.transferTo(OutputStream.nullOutputStream());
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
