package org.trefoilledge.wire;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.zip.CRC32C;
import org.trefoilledge.wire.generated.Envelope;

/**
 * Decodes frames. A frame consists of the length of a message as a varint32, the message's CRC-32C in 4 bytes, and the
 * message.
 */
final class FrameDecoder extends ByteToMessageDecoder {
    static final int CHECKSUM_BYTES = 4;
    private static final int MAX_LENGTH_BYTES = 5;
    private static final int INCOMPLETE = -1;

    private final int maxFrameBytes;
    private final TransportCounters counters;
    private final CRC32C checksum = new CRC32C();

    FrameDecoder(int maxFrameBytes, TransportCounters counters) {
        this.maxFrameBytes = maxFrameBytes;
        this.counters = counters;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws ProtocolException {
        int start = in.readerIndex();
        int length = readLength(in);
        if (length == INCOMPLETE || in.readableBytes() < CHECKSUM_BYTES + length) {
            in.readerIndex(start);
            return;
        }
        int expectedChecksum = in.readInt();
        ByteBuffer message = in.nioBuffer(in.readerIndex(), length);
        in.skipBytes(length);
        counters.received(in.readerIndex() - start);
        verify(message.duplicate(), expectedChecksum);
        out.add(parse(message));
    }

    /** Returns the length of the message, or {@link #INCOMPLETE} if its last byte has not arrived. */
    private int readLength(ByteBuf in) throws ProtocolException {
        long length = 0;
        for (int i = 0; i < MAX_LENGTH_BYTES; i++) {
            if (!in.isReadable()) {
                return INCOMPLETE;
            }
            byte next = in.readByte();
            length |= (next & 0x7FL) << (7 * i);
            if (next >= 0) {
                return checkLength(length);
            }
        }
        throw new ProtocolException("frame length has more than " + MAX_LENGTH_BYTES + " bytes");
    }

    private int checkLength(long length) throws ProtocolException {
        if (length > maxFrameBytes) {
            throw new ProtocolException("frame of " + length + " bytes exceeds the bound of " + maxFrameBytes);
        }
        return (int) length;
    }

    private void verify(ByteBuffer message, int expectedChecksum) throws ProtocolException {
        checksum.reset();
        checksum.update(message);
        if ((int) checksum.getValue() != expectedChecksum) {
            throw new ProtocolException("frame has a wrong checksum");
        }
    }

    private static Envelope parse(ByteBuffer message) throws ProtocolException {
        try {
            Envelope envelope = Envelope.parseFrom(CodedInputStream.newInstance(message));
            if (envelope.getMessageCase() == Envelope.MessageCase.MESSAGE_NOT_SET) {
                throw new ProtocolException("frame has no message of a known type");
            }
            return envelope;
        } catch (InvalidProtocolBufferException e) {
            throw new ProtocolException("frame has a malformed message: " + e.getMessage());
        } catch (IOException e) {
            throw new IllegalStateException("reading from memory cannot fail", e);
        }
    }
}
