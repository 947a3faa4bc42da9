package io.anvilpick.peer;

import io.anvilpick.peer.wire.PeerProto;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/** The framing of a connection: four bytes of length, then an envelope. */
final class Frames {
    private static final int LENGTH_BYTES = 4;

    /** Largest frame in bytes; claims of one group are the largest message. */
    private static final int MOST_FRAME_BYTES = 64 * 1024 * 1024;

    private Frames() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(PeerProto.Envelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
    }
}
