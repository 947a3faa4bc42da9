package io.anvilpick.standins.proxy;

import com.google.common.net.HostAndPort;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.TimeUnit;

/** Forwards TCP connections to one address and injects faults, which are set over HTTP. Thread safe. */
public final class FaultProxy {
    private final HostAndPort destination;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile ProxyFaults faults = ProxyFaults.NONE;

    private FaultProxy(HostAndPort destination) {
        this.destination = destination;
    }

    /** Starts the proxy and returns the HTTP server that sets its faults, not started yet. */
    public static Server create(int port, int adminPort, String destination) {
        FaultProxy proxy = new FaultProxy(HostAndPort.fromString(destination));
        proxy.listen(port);
        return Server.builder()
                .localPort(adminPort, SessionProtocol.HTTP)
                .service("/admin/faults", (context, request) -> proxy.setFaults(context))
                .build();
    }

    private void listen(int port) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel client) {
                        accept(client);
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly();
    }

    private void accept(SocketChannel client) {
        if (faults.cut()) {
            client.close();
            return;
        }
        connections.add(client);
        ChannelFuture connecting = new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Forwarder(client, true))
                .connect(destination.getHost(), destination.getPort());
        Channel server = connecting.channel();
        client.pipeline().addLast(new Forwarder(server, false));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                client.close();
                return;
            }
            connections.add(server);
            client.config().setAutoRead(true);
        });
    }

    private HttpResponse setFaults(ServiceRequestContext context) {
        faults = new ProxyFaults(
                Long.parseLong(parameter(context, "delay_ms", "0")),
                Boolean.parseBoolean(parameter(context, "cut", "false")),
                Boolean.parseBoolean(parameter(context, "hold", "false")),
                Boolean.parseBoolean(parameter(context, "drop_answers", "false")));
        if (faults.cut()) {
            connections.close();
        }
        return HttpResponse.of(HttpStatus.OK);
    }

    private static String parameter(ServiceRequestContext context, String name, String defaultValue) {
        String value = context.queryParam(name);
        return value == null ? defaultValue : value;
    }

    /** Forwards one direction of a connection to the channel on the other side. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel receiver;
        private final boolean toClient;

        private Forwarder(Channel receiver, boolean toClient) {
            this.receiver = receiver;
            this.toClient = toClient;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ProxyFaults current = faults;
            if (current.hold() || (toClient && current.dropAnswers())) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (current.delayMillis() == 0) {
                receiver.writeAndFlush(bytes);
                return;
            }
            context.executor()
                    .schedule(() -> receiver.writeAndFlush(bytes), current.delayMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!faults.hold()) {
                receiver.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
