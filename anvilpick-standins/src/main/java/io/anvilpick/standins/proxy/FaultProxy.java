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

/** Passes TCP traffic on to one address, with faults that can be switched on and off. Thread safe. */
public final class FaultProxy {
    private final HostAndPort to;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile ProxyFaults faults = ProxyFaults.NONE;

    private FaultProxy(HostAndPort to) {
        this.to = to;
    }

    /** Returns the server that switches faults, not started yet; the proxy itself listens at once. */
    public static Server create(int port, int adminPort, String to) {
        FaultProxy proxy = new FaultProxy(HostAndPort.fromString(to));
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
                    protected void initChannel(SocketChannel caller) {
                        accept(caller);
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly();
    }

    private void accept(SocketChannel caller) {
        if (faults.cut()) {
            caller.close();
            return;
        }
        connections.add(caller);
        ChannelFuture connecting = new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new Pipe(caller, true))
                .connect(to.getHost(), to.getPort());
        Channel server = connecting.channel();
        caller.pipeline().addLast(new Pipe(server, false));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                caller.close();
                return;
            }
            connections.add(server);
            caller.config().setAutoRead(true);
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

    private static String parameter(ServiceRequestContext context, String name, String otherwise) {
        String value = context.queryParam(name);
        return value == null ? otherwise : value;
    }

    /** One direction of a connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean answers;

        private Pipe(Channel other, boolean answers) {
            this.other = other;
            this.answers = answers;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ProxyFaults present = faults;
            if (present.hold() || (answers && present.dropAnswers())) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (present.delayMillis() == 0) {
                other.writeAndFlush(bytes);
                return;
            }
            context.executor().schedule(() -> other.writeAndFlush(bytes), present.delayMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!faults.hold()) {
                other.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
