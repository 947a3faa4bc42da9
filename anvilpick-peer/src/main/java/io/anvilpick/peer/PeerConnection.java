package io.anvilpick.peer;

import com.google.common.net.HostAndPort;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.peer.wire.PeerProto;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A connection to another daemon. Thread safe. The pending replies are guarded by a lock of the connection.
 *
 * <p>Requests are sent in the order of the calls of {@link #send}. The release of a claim relies on this order, because
 * it must arrive after the request for the vote.
 */
final class PeerConnection {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Long, CompletableFuture<PeerReply>> pendingReplies = new HashMap<>();
    private final AtomicLong nextRequestId = new AtomicLong();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final ChannelFuture connecting;

    private PeerConnection(EventLoopGroup group, HostAndPort address) {
        connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        Frames.addTo(connection.pipeline());
                        connection.pipeline().addLast(new ReplyHandler());
                    }
                })
                .connect(address.getHost(), address.getPort());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                fail(new PeerException(
                        "could not connect to " + address,
                        done.cause() instanceof ConnectException refused
                                && String.valueOf(refused.getMessage()).contains("refused")));
            }
        });
    }

    /** Starts to connect to {@code address} and returns the connection without waiting. */
    static PeerConnection open(EventLoopGroup group, HostAndPort address) {
        return new PeerConnection(group, address);
    }

    boolean isClosed() {
        return closed.get();
    }

    /**
     * Sends {@code request} as soon as the connection is established.
     *
     * @return completes with the reply, or with a {@link PeerException} if the connection is lost or the reply is
     *     unreadable
     */
    CompletableFuture<PeerReply> send(PeerRequest request) {
        long requestId = nextRequestId.incrementAndGet();
        CompletableFuture<PeerReply> reply = new CompletableFuture<>();
        lock.lock();
        try {
            if (closed.get()) {
                reply.completeExceptionally(new PeerException("connection lost", false));
                return reply;
            }
            pendingReplies.put(requestId, reply);
            write(PeerCodec.encode(requestId, request));
        } finally {
            lock.unlock();
        }
        reply.whenComplete((result, failure) -> removePending(requestId));
        return reply;
    }

    void close() {
        fail(new PeerException("connection closed", false));
        connecting.channel().close();
    }

    /** Writes {@code envelope}. The caller holds the lock, which keeps the frames in the order of the requests. */
    private void write(PeerProto.Envelope envelope) {
        Channel channel = connecting.channel();
        if (connecting.isSuccess()) {
            channel.writeAndFlush(envelope, channel.voidPromise());
            return;
        }
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                channel.writeAndFlush(envelope, channel.voidPromise());
            }
        });
    }

    private void removePending(long requestId) {
        lock.lock();
        try {
            pendingReplies.remove(requestId);
        } finally {
            lock.unlock();
        }
    }

    private void complete(PeerProto.Envelope envelope) {
        CompletableFuture<PeerReply> reply;
        lock.lock();
        try {
            reply = pendingReplies.remove(envelope.getRequestId());
        } finally {
            lock.unlock();
        }
        if (reply == null) {
            return;
        }
        PeerCodec.decodeReply(envelope)
                .ifPresentOrElse(
                        reply::complete,
                        () -> reply.completeExceptionally(new PeerException("body: is not a reply", false)));
    }

    private void fail(PeerException failure) {
        Map<Long, CompletableFuture<PeerReply>> lost;
        lock.lock();
        try {
            closed.set(true);
            lost = new HashMap<>(pendingReplies);
            pendingReplies.clear();
        } finally {
            lock.unlock();
        }
        lost.values().forEach(reply -> reply.completeExceptionally(failure));
    }

    /** Completes the pending replies of the connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<PeerProto.Envelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerProto.Envelope envelope) {
            complete(envelope);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(new PeerException("connection lost", false));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
