package org.trefoilledge.wire;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.trefoilledge.wire.generated.Envelope;

/** Encodes messages as frames, in the format that {@link FrameDecoder} describes. */
final class FrameEncoder extends MessageToByteEncoder<Envelope> {
    private final TransportCounters counters;
    private final CRC32C checksum = new CRC32C();

    FrameEncoder(TransportCounters counters) {
        super(Envelope.class);
        this.counters = counters;
    }

    /** Returns the size of a message's frame in bytes. */
    static int frameBytes(Envelope envelope) {
        int length = envelope.getSerializedSize();
        return CodedOutputStream.computeUInt32SizeNoTag(length) + FrameDecoder.CHECKSUM_BYTES + length;
    }

    @Override
    protected ByteBuf allocateBuffer(ChannelHandlerContext context, Envelope envelope, boolean preferDirect) {
        return context.alloc().ioBuffer(frameBytes(envelope));
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope envelope, ByteBuf out) throws IOException {
        int length = envelope.getSerializedSize();
        writeLength(length, out);
        int start = out.writerIndex() + FrameDecoder.CHECKSUM_BYTES;
        ByteBuffer message = out.nioBuffer(start, length);
        CodedOutputStream stream = CodedOutputStream.newInstance(message.duplicate());
        envelope.writeTo(stream);
        stream.flush();
        checksum.reset();
        checksum.update(message);
        out.writeInt((int) checksum.getValue());
        out.writerIndex(start + length);
        counters.sent(out.readableBytes());
    }

    private static void writeLength(int length, ByteBuf out) {
        int remaining = length;
        while (remaining > 0x7F) {
            out.writeByte((remaining & 0x7F) | 0x80);
            remaining >>>= 7;
        }
        out.writeByte(remaining);
    }
}
