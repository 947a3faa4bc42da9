package io.anvilpick.entry;

import io.anvilpick.calls.CallAnswer;
import io.anvilpick.calls.CallEvents;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.error.CallException;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.shard.Shards;
import io.anvilpick.time.TimeSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Counts requests and logs how they end, in one line with the steps of the request. Thread safe, in shards by call.
 *
 * <p>Requests that fail, are abandoned, get a server error, miss their latency goal or are sent more than once are all
 * logged, up to a maximum rate. Of the others, one in {@link #SAMPLE_INTERVAL} is logged.
 */
public final class EntryEvents implements CallEvents {
    private static final Logger LOG = Logger.getLogger(EntryEvents.class);
    private static final int SHARDS = 16;
    private static final int MAX_LINES_PER_SECOND = 60;
    private static final int SAMPLE_INTERVAL = 25;

    private final Shards<Map<Long, EntryTrace>> traces = Shards.create(SHARDS, HashMap::new);
    private final EntryCounts counts;
    private final LogRateLimiter limiter;
    private final AtomicLong ordinaryAnswers = new AtomicLong();

    /** Creates a listener that counts requests in {@code counts}. */
    public EntryEvents(EntryCounts counts, TimeSource time) {
        this.counts = counts;
        this.limiter = new LogRateLimiter(time, MAX_LINES_PER_SECOND);
    }

    void begin(EntryTrace trace, long callId) {
        trace.callId(callId);
        traces.withShardOf(callId, shard -> shard.put(callId, trace));
    }

    void answered(EntryTrace trace, CallAnswer answer) {
        counts.answered(trace.routeName(), answer.status(), trace.elapsedNanos());
        boolean notable = answer.isServerError() || trace.sends() > 1 || trace.isPastGoal();
        if (notable ? tryAcquireLine() : ordinaryAnswers.incrementAndGet() % SAMPLE_INTERVAL == 0) {
            LOG.infof("event=request_answered status=%d %s", answer.status(), trace.describe());
        }
    }

    void failed(EntryTrace trace, CallException failure) {
        counts.failed(trace.routeName(), failure.kind());
        if (tryAcquireLine()) {
            LOG.warnf(
                    "event=request_failed kind=%s %s reason=\"%s\"",
                    EntryTrace.labelOf(failure.kind()), trace.describe(), failure.getMessage());
        }
    }

    void abandoned(EntryTrace trace) {
        counts.abandoned(trace.routeName());
        if (tryAcquireLine()) {
            LOG.infof("event=request_abandoned %s", trace.describe());
        }
    }

    @Override
    public void sent(Assignment assignment) {
        withTrace(assignment, trace -> trace.sent(assignment));
    }

    @Override
    public void replied(Assignment assignment, TargetReply reply) {
        withTrace(assignment, trace -> trace.replied(assignment, reply));
    }

    @Override
    public void answered(String service, String request, String tenant, long nanos) {
        // Counted by route when the request ends.
    }

    @Override
    public void refused(String service, String request, String tenant, ErrorKind kind) {
        // Counted by route when the request ends.
    }

    @Override
    public void retried(String service) {
        counts.retried(service);
    }

    @Override
    public void hedged(String service) {
        counts.hedged(service);
    }

    /** Ends a request, whether or not it was answered. */
    void end(EntryTrace trace) {
        traces.withShardOf(trace.callId(), shard -> shard.remove(trace.callId()));
    }

    private void withTrace(Assignment assignment, Consumer<EntryTrace> action) {
        long callId = assignment.call().id();
        EntryTrace trace = traces.withShardOf(callId, shard -> shard.get(callId));
        if (trace != null) {
            action.accept(trace);
        }
    }

    private boolean tryAcquireLine() {
        if (!limiter.tryAcquire()) {
            return false;
        }
        long skipped = limiter.takeSkipped();
        if (skipped > 0) {
            LOG.warnf("event=lines_passed_over count=%d", skipped);
        }
        return true;
    }
}
