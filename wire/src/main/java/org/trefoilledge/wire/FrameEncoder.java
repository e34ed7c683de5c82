package org.trefoilledge.wire;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.trefoilledge.wire.generated.Envelope;

/** Writes the frames that {@link FrameDecoder} reads. */
final class FrameEncoder extends MessageToByteEncoder<Envelope> {
    private final TransportCounters counters;
    private final CRC32C checksum = new CRC32C();

    FrameEncoder(TransportCounters traffic) {
        super(Envelope.class);
        this.counters = traffic;
    }

    /** Returns the number of bytes that a message takes on the connection. */
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
        int rest = length;
        while (rest > 0x7F) {
            out.writeByte((rest & 0x7F) | 0x80);
            rest >>>= 7;
        }
        out.writeByte(rest);
    }
}
