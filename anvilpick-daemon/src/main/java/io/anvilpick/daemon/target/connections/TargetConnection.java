package io.anvilpick.daemon.target.connections;

import static com.google.common.base.Preconditions.checkNotNull;

import io.anvilpick.calls.TargetReply;
import io.anvilpick.daemon.http.StrictResponseDecoder;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.limits.HeldBytes;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a target. Its state is confined to the thread of its channel, except that the pool reads it while the connection
 * is idle.
 *
 * <p>Bytes that arrive while no request is pending belong to no exchange and close the connection. Interim answers and answers to
 * other requests are skipped up to a bound. The bytes of a body count against the daemon's bound as they arrive. A head that
 * {@link StrictResponseDecoder} rejects ends the exchange as a lost connection does, and closes the connection.
 *
 * <p>A target may send an answer a second time, late, when another request is pending. Only the request id distinguishes
 * such a copy from the answer that is due. A connection therefore never carries again a request that was answered on it, and it is closed after an
 * answer without a request id that would be taken for an answer to any request.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final Logger LOG = Logger.getLogger(TargetConnection.class);
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(6);

    /**
     * Time before the target's idle timeout from which a connection is not reused. A request sent later might be under way when
     * the target closes the connection.
     */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(1_500);

    /** Time past the deadline for which an answer that is under way is still accepted. */
    private static final Duration LATE_ANSWER_GRACE = Duration.ofMillis(60);

    /** Bytes of the bodies of skipped answers after which the exchange fails. A late answer to another request may be large. */
    private static final int MAX_SKIPPED_BYTES = 1024 * 1024;

    private static final int MAX_SKIPPED_ANSWERS = 32;
    private static final int MAX_PROBE_ANSWER_BYTES = 64 * 1024;

    /** Requests answered so that they may be sent again, after which a connection is closed. It bounds their ids in memory. */
    private static final int MAX_REPEATABLE_REQUESTS = 64;

    private static final int FIRST_FINAL_STATUS = 200;

    private final ConnectionPool pool;
    private final String address;
    private final TargetHeaders names;
    private final TimeSource time;
    private final AnswerDecoder decoder;
    private final HeldBytes heldBodies;
    private volatile @Nullable ChannelHandlerContext context;
    private @Nullable PendingExchange exchange;
    private @Nullable AnswerBuilder answer;
    private @Nullable Future<?> timeout;
    private boolean reusable;
    private Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;
    private volatile Deadline idleDeadline;

    /** Time of the last answer, or of the creation of the connection if it has carried none. */
    private volatile long idleSinceNanos;

    /** Ids of the requests that were answered on this connection so that they may be sent again. */
    private final Set<String> repeatableRequests = new HashSet<>();

    private int skippedAnswers;
    private long skippedBytes;
    private boolean used;
    private Duration idleTimeBefore = Duration.ZERO;
    private long startedNanos;

    /**
     * What the connections of a client have in common.
     *
     * @param pool the pool to which idle connections return
     * @param names the names of the headers
     * @param time the time source
     * @param heldBodies the count of the bytes of bodies that the daemon holds
     */
    record Shared(ConnectionPool pool, TargetHeaders names, TimeSource time, HeldBytes heldBodies) {}

    TargetConnection(Shared shared, String address, AnswerDecoder decoder) {
        this.pool = shared.pool();
        this.names = shared.names();
        this.time = shared.time();
        this.heldBodies = shared.heldBodies();
        this.address = address;
        this.decoder = decoder;
        this.idleDeadline = Deadline.after(time, DEFAULT_IDLE_TIMEOUT);
        this.idleSinceNanos = time.nanos();
    }

    String address() {
        return address;
    }

    /** Returns whether the connection is open and the target is not expected to have closed it as idle. */
    boolean isUsable() {
        ChannelHandlerContext current = context;
        return current != null && current.channel().isActive() && !idleDeadline.hasPassed(time);
    }

    /** Returns whether every answer that matches {@code next} will be an answer to it, and not to an earlier send of its request. */
    boolean mayCarry(PendingExchange next) {
        return !repeatableRequests.contains(next.requestId());
    }

    /** Returns the time since the last answer on the connection, or since its creation. */
    Duration idleTime() {
        return Duration.ofNanos(time.nanos() - idleSinceNanos);
    }

    void close() {
        ChannelHandlerContext current = context;
        if (current != null) {
            current.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Returns the channel context. The channel must have been initialized. */
    ChannelHandlerContext context() {
        return checkNotNull(context, "context");
    }

    /**
     * Sends the request of {@code next} unless that exchange is complete already. Returns false, with no byte sent, if the
     * connection is closed or already in use.
     */
    boolean start(PendingExchange next) {
        ChannelHandlerContext current = context();
        if (!current.channel().isActive() || exchange != null) {
            return false;
        }
        exchange = next;
        skippedAnswers = 0;
        skippedBytes = 0;
        reusable = false;
        idleTimeBefore = idleTime();
        startedNanos = time.nanos();
        next.setConnection(this, used);
        if (next.isDone()) {
            exchange = null;
            pool.release(this);
            return true;
        }
        used = true;
        decoder.expectAnswerTo(next.request().method());
        long remaining = next.request().deadline().remainingNanos(time.nanos());
        timeout = current.executor()
                .schedule(
                        () -> next.abort(new TargetReply.TimedOut()),
                        Math.max(0, remaining) + LATE_ANSWER_GRACE.toNanos(),
                        TimeUnit.NANOSECONDS);
        current.writeAndFlush(RequestMessage.of(next, names, remaining)).addListener(written -> {
            if (!written.isSuccess()) {
                fail(current, "write failed: " + nameOf(written.cause()));
            }
        });
        return true;
    }

    /** Closes the connection if it still carries {@code unwanted}. */
    void abort(PendingExchange unwanted) {
        ChannelHandlerContext current = context();
        current.executor().execute(() -> {
            if (exchange == unwanted) {
                clearExchange();
                current.close();
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext current, HttpObject message) {
        if (exchange == null) {
            LOG.debugf("event=extra_bytes target=%s", address);
            current.close();
            return;
        }
        exchange.recordResponse();
        if (message.decoderResult().isFailure()) {
            fail(current, StrictResponseDecoder.reasonOf(message.decoderResult()));
            return;
        }
        if (message instanceof HttpResponse response) {
            beginAnswer(response);
        }
        if (message instanceof HttpContent content && !append(content.content())) {
            fail(current, answer == null ? "too many bytes of other answers" : "answer too large");
            return;
        }
        if (message instanceof LastHttpContent) {
            completeAnswer(current);
        }
    }

    /** Appends to the answer, or skips content that belongs to another answer. Returns false if that exceeds a bound. */
    private boolean append(ByteBuf content) {
        int length = content.readableBytes();
        if (answer == null) {
            skippedBytes += length;
            return skippedBytes <= MAX_SKIPPED_BYTES && skippedAnswers <= MAX_SKIPPED_ANSWERS;
        }
        int requestSize = exchange == null ? 0 : exchange.request().body().length;
        boolean probeTooLarge = exchange != null && exchange.isProbe() && answer.size() > MAX_PROBE_ANSWER_BYTES;
        if (probeTooLarge || !heldBodies.tryHoldAnswer(answer.size() + requestSize, length)) {
            return false;
        }
        answer.append(content);
        return true;
    }

    private void beginAnswer(HttpResponse response) {
        AnswerBuilder next = new AnswerBuilder(response, names);
        if (response.status().code() < FIRST_FINAL_STATUS || !matchesExchange(next)) {
            answer = null;
            skippedAnswers++;
            return;
        }
        answer = next;
        boolean framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        reusable = framed && HttpUtil.isKeepAlive(response) && !next.mayAnswerAnyRequest();
        String keepAlive = response.headers().get(HttpHeaderNames.KEEP_ALIVE, "");
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
        idleTimeout = matcher.find() ? Duration.ofSeconds(Integer.parseInt(matcher.group(1))) : DEFAULT_IDLE_TIMEOUT;
    }

    private boolean matchesExchange(AnswerBuilder next) {
        PendingExchange current = exchange;
        return current != null && (current.isProbe() ? next.hasNoRequestId() : next.mayAnswer(current.requestId()));
    }

    private void completeAnswer(ChannelHandlerContext current) {
        AnswerBuilder completed = answer;
        PendingExchange ended = exchange;
        if (completed == null || ended == null) {
            return;
        }
        TargetReply reply = completed.build(time);
        boolean complete = clearExchange();
        if (complete && reusable && reply instanceof TargetReply.Answered answered && recordAnswered(ended, answered)) {
            idleSinceNanos = time.nanos();
            idleDeadline = Deadline.after(time, idleTimeout.minus(IDLE_MARGIN));
            pool.release(this);
        } else {
            current.close();
        }
        if (reply instanceof TargetReply.Answered answered && answered.notice() instanceof TargetNotice.Leaving) {
            pool.closeAll(address);
        }
        ended.complete(reply);
    }

    /** Records the request if it may be sent again. Returns whether the connection may carry further requests. */
    private boolean recordAnswered(PendingExchange ended, TargetReply.Answered answered) {
        if (!ended.isProbe() && (answered.notRun() || answered.answer().isServerError())) {
            repeatableRequests.add(ended.requestId());
        }
        return repeatableRequests.size() < MAX_REPEATABLE_REQUESTS;
    }

    private void fail(ChannelHandlerContext current, String reason) {
        PendingExchange ended = exchange;
        boolean began = answer != null;
        clearExchange();
        current.close();
        if (ended == null) {
            return;
        }
        if (began) {
            ended.complete(new TargetReply.Cut(reason));
            return;
        }
        if (!ended.hasResponse()) {
            Duration elapsed = Duration.ofNanos(time.nanos() - startedNanos);
            pool.idleReuseLimit().recordLost(idleTimeBefore, elapsed);
        }
        ended.complete(new TargetReply.Lost("%s/rested_ms=%d".formatted(reason, idleTimeBefore.toMillis())));
    }

    /** Ends the exchange. Returns whether no byte has arrived behind its answer so far. */
    private boolean clearExchange() {
        exchange = null;
        if (answer != null) {
            heldBodies.release(answer.size());
            answer = null;
        }
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
        return decoder.endAnswer();
    }

    @Override
    public void channelInactive(ChannelHandlerContext current) {
        pool.remove(this);
        fail(current, "closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext current, Throwable cause) {
        fail(current, nameOf(cause));
    }

    private static String nameOf(@Nullable Throwable cause) {
        return cause == null ? "unknown" : cause.getClass().getSimpleName();
    }
}
