package io.anvilpick.entry;

import com.google.common.base.CharMatcher;
import io.anvilpick.calls.TargetReply;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.TargetNotice;
import io.anvilpick.routes.Route;
import io.anvilpick.time.TimeSource;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** The steps of one request, for its log line. Thread safe under its own lock. */
final class EntryTrace {
    private static final int MAX_STEPS = 12;

    /** Characters of reasons that have a meaning in a log line, where a step ends at a blank or a comma. */
    private static final CharMatcher SEPARATORS = CharMatcher.whitespace().or(CharMatcher.anyOf(",\""));

    private final EntryRequest request;
    private final TimeSource time;
    private final StringBuilder steps = new StringBuilder();
    private int stepCount;
    private int sends;
    private long callId;
    private long configurationVersion;
    private @Nullable Route route;
    private String service = "";
    private String tenant = "";

    EntryTrace(EntryRequest request, TimeSource time) {
        this.request = request;
        this.time = time;
    }

    synchronized void callId(long id) {
        callId = id;
    }

    synchronized long callId() {
        return callId;
    }

    synchronized void configuration(long version) {
        configurationVersion = version;
    }

    synchronized void routed(Route chosenRoute, String chosenService) {
        route = chosenRoute;
        service = chosenService;
    }

    synchronized void tenant(String name) {
        tenant = name;
    }

    synchronized void sent(Assignment assignment) {
        sends++;
        addStep("sent:" + assignment.target().id() + "/" + assignment.target().zone() + assignment.reason());
    }

    synchronized void replied(Assignment assignment, TargetReply reply) {
        addStep(SEPARATORS.replaceFrom(labelOf(reply), '_') + ":"
                + assignment.target().id());
    }

    synchronized int sends() {
        return sends;
    }

    synchronized String routeName() {
        return route == null ? EntryCounts.NO_ROUTE : route.name();
    }

    synchronized String serviceName() {
        return service;
    }

    synchronized boolean isPastGoal() {
        return route != null && elapsedMillis() > route.goalMillis();
    }

    long elapsedNanos() {
        return time.nanos() - request.arrivedNanos();
    }

    /** Returns the key-value pairs of the log line that is written when the request ends. */
    synchronized String describe() {
        return "id=%s call=%d host=%s path=%s configuration=%d route=%s service=%s%s ms=%d waits_ms=%d sends=%d steps=%s"
                .formatted(
                        request.id(),
                        callId,
                        request.host(),
                        request.path(),
                        configurationVersion,
                        routeName(),
                        service,
                        tenant.isEmpty() ? "" : " tenant=" + tenant,
                        elapsedMillis(),
                        TimeUnit.NANOSECONDS.toMillis(request.deadline().atNanos() - request.arrivedNanos()),
                        sends,
                        steps);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(elapsedNanos());
    }

    private void addStep(String step) {
        stepCount++;
        if (stepCount > MAX_STEPS) {
            return;
        }
        if (!steps.isEmpty()) {
            steps.append(',');
        }
        steps.append(elapsedMillis()).append('@').append(step);
    }

    private static String labelOf(TargetReply reply) {
        return switch (reply) {
            case TargetReply.Answered answered ->
                (answered.notRun() ? "rejected" : "answered")
                        + answered.answer().status()
                        + labelOf(answered.notice());
            case TargetReply.NotSent notSent -> "not_sent(" + notSent.reason() + ")";
            case TargetReply.Expired ignored -> "not_sent(deadline passed)";
            case TargetReply.Lost lost -> "lost(" + lost.reason() + ")";
            case TargetReply.Cut cut -> "cut(" + cut.reason() + ")";
            case TargetReply.TimedOut ignored -> "timed_out";
            case TargetReply.Cancelled ignored -> "cancelled";
        };
    }

    private static String labelOf(TargetNotice notice) {
        return switch (notice) {
            case TargetNotice.None ignored -> "";
            case TargetNotice.Replaced ignored -> "";
            case TargetNotice.Leaving ignored -> "/leaving";
            case TargetNotice.Rest ignored -> "/rest";
        };
    }

    /** Returns the name of {@code kind} as written in log lines. */
    static String labelOf(Enum<?> kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
