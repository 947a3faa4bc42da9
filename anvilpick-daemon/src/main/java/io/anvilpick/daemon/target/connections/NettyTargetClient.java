package io.anvilpick.daemon.target.connections;

import io.anvilpick.calls.CallRequest;
import io.anvilpick.calls.Exchange;
import io.anvilpick.calls.ProbeClient;
import io.anvilpick.calls.ProbeReply;
import io.anvilpick.calls.TargetClient;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.daemon.http.TcpClients;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.jspecify.annotations.Nullable;

/** A client that sends requests and probes to targets over pooled HTTP/1.1 connections. Thread safe. */
public final class NettyTargetClient implements TargetClient, ProbeClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final Bootstrap bootstrap;
    private final TargetConnection.Shared shared;
    private final TimeSource time;
    private final ConnectionPool pool;
    private final EventLoopGroup loops;

    /** Probes in flight by target address. Concurrent calls share one probe of a target. */
    private final ConcurrentMap<String, CompletableFuture<ProbeReply>> probes = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param loops event loops that serve the connections; not shut down by the client
     * @param heldBodies counts the bytes of answers that have arrived in part; an answer beyond its bound is cut
     */
    public NettyTargetClient(EventLoopGroup loops, TargetHeaders names, TimeSource time, HeldBytes heldBodies) {
        this.loops = loops;
        this.time = time;
        this.pool = new ConnectionPool(new IdleReuseLimit(time));
        this.shared = new TargetConnection.Shared(pool, names, time, heldBodies);
        this.bootstrap = TcpClients.newBootstrap(loops, CONNECT_TIMEOUT);
    }

    @Override
    public Exchange send(TargetConfig target, CallRequest request) {
        PendingExchange exchange =
                PendingExchange.call(target, request, shared.names().requestId());
        if (request.deadline().remainingNanos(time.nanos()) <= 0) {
            exchange.complete(new TargetReply.Expired());
            return exchange;
        }
        sendOnIdleConnection(exchange);
        return exchange;
    }

    @Override
    public CompletableFuture<Boolean> isListening(TargetConfig target) {
        CompletableFuture<Boolean> listening = new CompletableFuture<>();
        connect(target).addListener(connected -> {
            if (connected.isSuccess()) {
                pool.release(connectionOf(((ChannelFuture) connected).channel()));
            }
            listening.complete(connected.isSuccess());
        });
        return listening;
    }

    @Override
    public CompletableFuture<ProbeReply> probe(TargetConfig target, String path) {
        CompletableFuture<ProbeReply> report = new CompletableFuture<>();
        CompletableFuture<ProbeReply> running = probes.putIfAbsent(target.address(), report);
        if (running != null) {
            return running;
        }
        PendingExchange exchange = PendingExchange.probe(target, path, Deadline.after(time, PROBE_TIMEOUT));
        exchange.reply()
                .thenCompose(reply -> retryIfStale(exchange, reply))
                .thenApply(NettyTargetClient::probeReplyOf)
                .whenComplete((reply, failure) -> complete(target.address(), report, reply, failure));
        sendOnIdleConnection(exchange);
        return report;
    }

    /** Completes a probe. It is no longer shared by then, so that one that is sent afterwards gets a reply of its own. */
    private void complete(
            String address,
            CompletableFuture<ProbeReply> report,
            @Nullable ProbeReply reply,
            @Nullable Throwable failure) {
        probes.remove(address, report);
        if (failure != null) {
            report.completeExceptionally(failure);
        } else {
            report.complete(reply);
        }
    }

    /**
     * Repeats a lost probe on a new connection if the lost one went over a reused connection without any response. The target may
     * have dropped the idle connection and still be healthy.
     */
    private CompletableFuture<TargetReply> retryIfStale(PendingExchange first, TargetReply reply) {
        if (!(reply instanceof TargetReply.Lost) || !first.mayHaveMetADroppedConnection()) {
            return CompletableFuture.completedFuture(reply);
        }
        PendingExchange second = PendingExchange.probe(
                first.target(), first.request().path(), first.request().deadline());
        sendOnNewConnection(second);
        return second.reply();
    }

    private static ProbeReply probeReplyOf(TargetReply reply) {
        if (!(reply instanceof TargetReply.Answered answered)) {
            return new ProbeReply.NoAnswer();
        }
        if (!(answered.notice() instanceof TargetNotice.None)) {
            return new ProbeReply.Noticed(answered.notice());
        }
        return answered.load().<ProbeReply>map(ProbeReply.Reported::new).orElseGet(ProbeReply.NotReported::new);
    }

    private void sendOnIdleConnection(PendingExchange exchange) {
        TargetConnection idle = pool.acquire(exchange);
        if (idle == null) {
            sendOnNewConnection(exchange);
            return;
        }
        idle.context().executor().execute(() -> {
            if (!idle.start(exchange)) {
                sendOnIdleConnection(exchange);
            }
        });
    }

    private void sendOnNewConnection(PendingExchange exchange) {
        ChannelFuture connecting = connect(exchange.target());
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                exchange.complete(
                        new TargetReply.NotSent(connected.cause().getClass().getSimpleName()));
                return;
            }
            TargetConnection connection = connectionOf(connecting.channel());
            if (exchange.isDone()) {
                pool.release(connection);
                return;
            }
            if (!connection.start(exchange)) {
                exchange.complete(new TargetReply.NotSent("closed at once"));
            }
        });
    }

    private ChannelFuture connect(TargetConfig target) {
        return bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        AnswerDecoder decoder = new AnswerDecoder();
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(decoder)
                                .addLast(new TargetConnection(shared, target.address(), decoder));
                    }
                })
                .connect(new InetSocketAddress(target.host(), target.port()));
    }

    private static TargetConnection connectionOf(Channel channel) {
        return channel.pipeline().get(TargetConnection.class);
    }
}
