package io.anvilpick.peer;

import io.anvilpick.peer.wire.PeerProto;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/** The framing of a connection: a length of four bytes, followed by an envelope. */
final class Frames {
    private static final int LENGTH_BYTES = 4;

    /** Maximum size of a frame in bytes. The largest message contains all claims of one group. */
    private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

    private Frames() {}

    static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(PeerProto.Envelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
    }
}
