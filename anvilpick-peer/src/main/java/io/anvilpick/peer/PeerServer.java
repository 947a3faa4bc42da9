package io.anvilpick.peer;

import io.anvilpick.messages.PeerHandler;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.peer.wire.PeerProto;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.jboss.logging.Logger;

/** Accepts connections from other daemons and answers their requests. Thread safe. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    private final Channel channel;
    private final ChannelGroup connections;

    private PeerServer(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Starts a server that listens at {@code address} and answers requests with {@code handler}.
     *
     * @param group event loops that serve the connections; not shut down by the server
     * @throws InterruptedException if interrupted while binding
     */
    public static PeerServer listen(EventLoopGroup group, InetSocketAddress address, PeerHandler handler)
            throws InterruptedException {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connections.add(connection);
                        Frames.addTo(connection.pipeline());
                        connection.pipeline().addLast(new RequestHandler(handler));
                    }
                })
                .bind(address)
                .sync()
                .channel();
        return new PeerServer(channel, connections);
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops listening and closes the accepted connections. Replies that have not been sent are lost. */
    @Override
    public void close() {
        channel.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** Answers the requests of one connection. */
    private static final class RequestHandler extends SimpleChannelInboundHandler<PeerProto.Envelope> {
        private final PeerHandler handler;

        private RequestHandler(PeerHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerProto.Envelope envelope) {
            context.writeAndFlush(PeerCodec.encode(envelope.getRequestId(), reply(envelope)), context.voidPromise());
        }

        private PeerReply reply(PeerProto.Envelope envelope) {
            Optional<PeerRequest> request = PeerCodec.decodeRequest(envelope);
            if (request.isEmpty()) {
                return new PeerReply.Rejected("body: is not a request");
            }
            try {
                return handler.handle(request.get());
            } catch (RuntimeException e) {
                LOG.warnf("event=peer_request_failed error=%s", e);
                return new PeerReply.Rejected("request: could not be served");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.warnf(
                    "event=peer_connection_closed peer=%s error=%s",
                    context.channel().remoteAddress(), cause);
            context.close();
        }
    }
}
