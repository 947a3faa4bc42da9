package io.anvilpick.daemon.target.connections;

import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.ProbeClient;
import io.anvilpick.calls.ProbeReply;
import io.anvilpick.calls.TargetClient;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import jdk.net.ExtendedSocketOptions;

/** Sends requests to targets over connections that it keeps. Thread safe. */
public final class NettyTargetClient implements TargetClient, ProbeClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** Seconds of silence after which a connection is probed, and between probes; a dead one is found after three. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final Bootstrap bootstrap;
    private final TargetHeaders names;
    private final TimeSource time;
    private final ConnectionPool pool;
    private final EventLoopGroup loops;

    /** Probes on their way, by address, so that calls that arrive together share them. */
    private final ConcurrentMap<String, CompletableFuture<ProbeReply>> probes = new ConcurrentHashMap<>();

    /** Creates a client whose connections live on {@code threads}, which the caller closes. */
    public NettyTargetClient(EventLoopGroup threads, TargetHeaders names, TimeSource time) {
        this.loops = threads;
        this.names = names;
        this.time = time;
        this.pool = new ConnectionPool(new RestLimit(time));
        this.bootstrap = new Bootstrap()
                .group(threads)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
    }

    @Override
    public Exchange send(TargetConfig target, CallRequest request) {
        PendingExchange exchange = new PendingExchange(target, request);
        if (request.deadline().remainingNanos(time.nanos()) <= 0) {
            exchange.end(new TargetReply.NotSent("deadline passed"));
            return exchange;
        }
        sendOnIdle(exchange);
        return exchange;
    }

    @Override
    public CompletableFuture<Boolean> isListening(TargetConfig target) {
        CompletableFuture<Boolean> listening = new CompletableFuture<>();
        connect(target).addListener(connected -> {
            if (connected.isSuccess()) {
                pool.putBack(connectionOf(((ChannelFuture) connected).channel()));
            }
            listening.complete(connected.isSuccess());
        });
        return listening;
    }

    @Override
    public CompletableFuture<ProbeReply> probe(TargetConfig target, String path) {
        return probes.computeIfAbsent(target.address(), address -> {
            PendingExchange exchange = PendingExchange.probe(target, path, Deadline.after(time, PROBE_TIMEOUT));
            CompletableFuture<ProbeReply> report = exchange.reply()
                    .thenCompose(reply -> probedAnew(exchange, reply))
                    .thenApply(NettyTargetClient::probeReplyOf);
            report.whenComplete((told, failure) -> loops.execute(() -> probes.remove(address)));
            sendOnIdle(exchange);
            return report;
        });
    }

    /** A target that has forgotten a connection is well; only a new connection shows how it is. */
    private CompletableFuture<TargetReply> probedAnew(PendingExchange first, TargetReply reply) {
        if (!(reply instanceof TargetReply.Lost) || !first.wasOnUsedConnection()) {
            return CompletableFuture.completedFuture(reply);
        }
        PendingExchange second = PendingExchange.probe(
                first.target(), first.request().path(), first.request().deadline());
        sendOnNew(second);
        return second.reply();
    }

    private static ProbeReply probeReplyOf(TargetReply reply) {
        if (!(reply instanceof TargetReply.Answered answered)) {
            return new ProbeReply.NoAnswer();
        }
        if (answered.leaving()) {
            return new ProbeReply.OtherTarget();
        }
        return answered.load().<ProbeReply>map(ProbeReply.Reported::new).orElseGet(ProbeReply.NotReported::new);
    }

    private void sendOnIdle(PendingExchange exchange) {
        TargetConnection idle = pool.take(exchange.target().address(), !exchange.isProbe());
        if (idle == null) {
            sendOnNew(exchange);
            return;
        }
        idle.context().executor().execute(() -> {
            if (!idle.start(exchange)) {
                sendOnIdle(exchange);
            }
        });
    }

    private void sendOnNew(PendingExchange exchange) {
        ChannelFuture connecting = connect(exchange.target());
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                exchange.end(
                        new TargetReply.NotSent(connected.cause().getClass().getSimpleName()));
                return;
            }
            TargetConnection connection = connectionOf(connecting.channel());
            if (exchange.isDone()) {
                pool.putBack(connection);
                return;
            }
            if (!connection.start(exchange)) {
                exchange.end(new TargetReply.NotSent("closed at once"));
            }
        });
    }

    private ChannelFuture connect(TargetConfig target) {
        TargetHeaders headers = names;
        return bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        AnswerDecoder decoder = new AnswerDecoder();
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(new TargetConnection(pool, target.address(), headers, time, decoder));
                    }
                })
                .connect(new InetSocketAddress(target.host(), target.port()));
    }

    private static TargetConnection connectionOf(Channel channel) {
        return channel.pipeline().get(TargetConnection.class);
    }
}
