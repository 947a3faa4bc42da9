package io.anvilpick.daemon.http;

import com.google.common.net.HostAndPort;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * A client of one HTTP/1.1 server over pooled connections. Thread safe.
 *
 * <p>Heads and bodies of responses are bounded. A connection whose response exceeds a bound is closed, and its call ends as
 * {@link ServerReply.TooLarge} if that is the bound of bodies and as {@link ServerReply.Lost} otherwise. A response whose head is
 * invalid ends its call as {@link ServerReply.Lost}, too. Calls use neither HEAD nor CONNECT.
 */
public final class HttpServerClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final EventLoopGroup loops;
    private final HostAndPort server;
    private final InetSocketAddress address;
    private final TimeSource time;
    private final Bootstrap bootstrap;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<ClientConnection> idle = new ArrayDeque<>();

    /**
     * Creates a client, which connects with its first call.
     *
     * @param loops event loops that serve the connections; not shut down by the client
     */
    public HttpServerClient(EventLoopGroup loops, HostAndPort server, TimeSource time) {
        this.loops = loops;
        this.server = server;
        this.address = new InetSocketAddress(server.getHost(), server.getPort());
        this.time = time;
        this.bootstrap = TcpClients.newBootstrap(loops, CONNECT_TIMEOUT)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(new StrictResponseDecoder())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new ClientConnection(HttpServerClient.this, channel, time));
                    }
                });
    }

    /** Sends {@code call}. */
    public PendingCall send(ServerCall call) {
        PendingCall pending = new PendingCall(call);
        if (call.deadline().hasPassed(time)) {
            pending.complete(new ServerReply.NotSent("deadline passed"));
            return pending;
        }
        start(pending);
        return pending;
    }

    /** Sends {@code pending}, which ends by its deadline. */
    void start(PendingCall pending) {
        endAtDeadline(pending);
        dispatch(pending);
    }

    /** Sends {@code pending}, which ends by its deadline, on a new connection. */
    void startOnNewConnection(PendingCall pending) {
        endAtDeadline(pending);
        dispatchOnNewConnection(pending);
    }

    /** Ends the call as lost at its deadline, whatever has become of its connection. */
    private void endAtDeadline(PendingCall pending) {
        long remaining = Math.max(0, pending.call().deadline().remainingNanos(time.nanos()));
        Future<?> timeout = loops.schedule(() -> onTimeout(pending), remaining, TimeUnit.NANOSECONDS);
        pending.reply().thenAccept(reply -> timeout.cancel(false));
    }

    private void onTimeout(PendingCall late) {
        if (!late.isDone()) {
            closeIdleConnections();
            late.abort("no response in time");
        }
    }

    /**
     * Sends an idempotent {@code call}, and sends {@code again} on a new connection if it has no response by {@code overdueAt}. Its
     * connection may have lost its packets without being closed. The first response counts.
     *
     * @param again the second call, which has the effect of {@code call} and may ask the server for a faster response
     */
    public PendingCall sendHedged(ServerCall call, ServerCall again, Deadline overdueAt) {
        PendingCall pending = new PendingCall(call);
        if (call.deadline().hasPassed(time)) {
            pending.complete(new ServerReply.NotSent("deadline passed"));
            return pending;
        }
        HedgedCall hedged = new HedgedCall(this, pending, again);
        hedged.send();
        long remaining = Math.max(0, overdueAt.remainingNanos(time.nanos()));
        Future<?> timer = loops.schedule(hedged::sendAgain, remaining, TimeUnit.NANOSECONDS);
        pending.reply().thenAccept(reply -> timer.cancel(false));
        return pending;
    }

    /** Sends {@code pending} on an idle connection, or on a new one if there is none. */
    void dispatch(PendingCall pending) {
        if (pending.isDone()) {
            return;
        }
        ClientConnection connection = acquire();
        if (connection != null) {
            connection.send(pending);
            return;
        }
        dispatchOnNewConnection(pending);
    }

    private void dispatchOnNewConnection(PendingCall pending) {
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(connected -> {
            if (!connected.isSuccess()) {
                pending.complete(new ServerReply.NotSent(
                        "no connection: " + connected.cause().getClass().getSimpleName()));
                return;
            }
            // Absent if the server has closed the connection already.
            ClientConnection opened = connecting.channel().pipeline().get(ClientConnection.class);
            if (opened == null) {
                pending.complete(new ServerReply.NotSent("connection closed at once"));
            } else {
                opened.send(pending);
            }
        });
    }

    private @Nullable ClientConnection acquire() {
        lock.lock();
        try {
            while (!idle.isEmpty()) {
                ClientConnection connection = idle.pop();
                if (connection.isUsable()) {
                    return connection;
                }
                connection.close();
            }
            return null;
        } finally {
            lock.unlock();
        }
    }

    /** Returns a connection without a call to the pool. */
    void release(ClientConnection connection) {
        lock.lock();
        try {
            idle.push(connection);
        } finally {
            lock.unlock();
        }
    }

    /** Removes a closed connection from the pool. */
    void remove(ClientConnection connection) {
        lock.lock();
        try {
            idle.remove(connection);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Closes the idle connections. They may have lost their packets as well, if a call has had no response on a connection to the
     * same server.
     */
    void closeIdleConnections() {
        List<ClientConnection> closed;
        lock.lock();
        try {
            closed = List.copyOf(idle);
            idle.clear();
        } finally {
            lock.unlock();
        }
        closed.forEach(ClientConnection::close);
    }

    /** Returns the value of the host header. */
    String authority() {
        return server.toString();
    }
}
