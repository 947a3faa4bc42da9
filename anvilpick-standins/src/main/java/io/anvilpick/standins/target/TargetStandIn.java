package io.anvilpick.standins.target;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Processes calls in a fixed number of slots, fed from one queue. Thread safe; one lock guards all state.
 *
 * <p>For every call other than a read, a record with the value of the header {@code x-run-id} is written when the call
 * starts to run. Tests and the demo count runs by these records, independently of what any daemon reports.
 */
public final class TargetStandIn {
    private static final double COLD_FACTOR = 5;
    private static final double NOISE_FACTOR = 4;
    private static final int MIN_NOISE_MILLIS = 5;
    private static final int NOISE_SPREAD_MILLIS = 46;
    private static final int EXIT_CRASHED = 70;
    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetSettings settings;
    private final PrintStream records;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Random random;
    private final long startedNanos = System.nanoTime();
    private Misbehaviour misbehaviour = Misbehaviour.NONE;
    private boolean down;
    private int busy;
    private long runs;
    private long probes;
    private long cancelled;
    private double noiseFactor = 1;
    private long noiseUntilNanos;

    /** A call that waits for a slot or holds one. */
    private static final class Job {
        private final ServiceRequestContext context;
        private final AggregatedHttpRequest request;
        private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        private ScheduledFuture<?> timer;
        private boolean ended;

        private Job(ServiceRequestContext context, AggregatedHttpRequest request) {
            this.context = context;
            this.request = request;
        }
    }

    private TargetStandIn(TargetSettings settings, PrintStream records) {
        this.settings = settings;
        this.records = records;
        this.random = new Random(settings.seed());
    }

    /** Returns a target that writes its records to {@code records}. */
    static TargetStandIn of(TargetSettings settings, PrintStream records) {
        return new TargetStandIn(settings, records);
    }

    /** Returns a server on loopback, not started yet. */
    public static Server create(int port, TargetSettings settings) {
        return of(settings, System.out).server(port);
    }

    Server server(int port) {
        TargetStandIn target = this;
        return Server.builder()
                .localPort(port, SessionProtocol.HTTP)
                .requestTimeout(Duration.ofMinutes(1))
                .gracefulShutdownTimeout(Duration.ZERO, Duration.ZERO)
                .service("/admin/misbehave", (context, request) -> target.misbehave(context))
                .service("/admin/counts", (context, request) -> target.counts())
                .service("/health", (context, request) -> target.health())
                .serviceUnder("/", target::call)
                .build();
    }

    private HttpResponse call(ServiceRequestContext context, HttpRequest request) {
        return HttpResponse.of(request.aggregate().thenCompose(whole -> enqueue(context, whole)));
    }

    CompletableFuture<HttpResponse> enqueue(ServiceRequestContext context, AggregatedHttpRequest request) {
        if (request.headers().contains("x-crash") || request.path().contains("crash=yes")) {
            crash();
        }
        Job job = new Job(context, request);
        context.whenRequestCancelling().thenAccept(cause -> cancel(job));
        lock.lock();
        try {
            if (misbehaviour.failFast()) {
                return CompletableFuture.completedFuture(HttpResponse.of(HttpStatus.INTERNAL_SERVER_ERROR));
            }
            if (misbehaviour.draining() || waiting.size() >= settings.queue() && busy >= settings.slots()) {
                return CompletableFuture.completedFuture(refusal());
            }
            waiting.add(job);
            startWaiting();
        } finally {
            lock.unlock();
        }
        return job.response;
    }

    /** Ends the process without a shutdown. The record is written before any connection closes. */
    private void crash() {
        records.println("crashed target=" + settings.id());
        records.flush();
        Runtime.getRuntime().halt(EXIT_CRASHED);
    }

    private void startWaiting() {
        while (busy < settings.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            busy++;
            runs++;
            record(job);
            job.timer = job.context
                    .eventLoop()
                    .schedule(() -> finish(job), (long) (serviceMillis(job) * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
        }
    }

    /** Records a write when it starts: it counts as run even if it is cancelled later or the target crashes. */
    private void record(Job job) {
        if (!isRead(job)) {
            records.println("ran id=" + job.request.headers().get("x-run-id", "?") + " target=" + settings.id());
            records.flush();
        }
    }

    private void finish(Job job) {
        lock.lock();
        try {
            if (job.ended) {
                return;
            }
            job.ended = true;
            job.response.complete(answer(job));
            busy--;
            startWaiting();
        } finally {
            lock.unlock();
        }
    }

    /** Cancels a call whose client is gone. A queued call does not run, and a started call is stopped. */
    private void cancel(Job job) {
        lock.lock();
        try {
            if (job.ended) {
                return;
            }
            job.ended = true;
            cancelled++;
            if (waiting.remove(job)) {
                return;
            }
            job.timer.cancel(false);
            busy--;
            startWaiting();
        } finally {
            lock.unlock();
        }
    }

    private HttpResponse answer(Job job) {
        String body =
                settings.id() + " " + job.request.headers().get("x-run-id", "?") + " " + job.request.contentUtf8();
        ResponseHeaders headers = ResponseHeaders.builder(HttpStatus.OK)
                .contentType(MediaType.PLAIN_TEXT_UTF_8)
                .add("anvilpick-in-flight", String.valueOf(reportedLoad()))
                .add("anvilpick-leaving", String.valueOf(misbehaviour.draining()))
                .build();
        return HttpResponse.of(headers, HttpData.ofUtf8(body));
    }

    private HttpResponse refusal() {
        ResponseHeaders headers = ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                .add("anvilpick-outcome", "not_run")
                .add("anvilpick-leaving", String.valueOf(misbehaviour.draining()))
                .build();
        return HttpResponse.of(headers);
    }

    private int reportedLoad() {
        return misbehaviour.reportIdle() ? 0 : busy + waiting.size();
    }

    private double serviceMillis(Job job) {
        double meanMillis = isRead(job) ? settings.meanMillis() : settings.writeMillis();
        double sampledMillis = meanMillis * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
        boolean cold = System.nanoTime() - startedNanos < settings.coldMillis() * NANOS_PER_MILLI;
        return sampledMillis * misbehaviour.slowness() * noise() * (cold ? COLD_FACTOR : 1);
    }

    private double noise() {
        if (!misbehaviour.noisy()) {
            return 1;
        }
        long now = System.nanoTime();
        while (noiseUntilNanos - now < 0) {
            noiseFactor = noiseFactor == 1 ? NOISE_FACTOR : 1;
            long span = MIN_NOISE_MILLIS + random.nextInt(NOISE_SPREAD_MILLIS);
            noiseUntilNanos =
                    Math.max(noiseUntilNanos, now - TimeUnit.SECONDS.toNanos(1)) + TimeUnit.MILLISECONDS.toNanos(span);
        }
        return noiseFactor;
    }

    private static boolean isRead(Job job) {
        return job.request.method() == HttpMethod.GET;
    }

    private HttpResponse misbehave(ServiceRequestContext context) {
        lock.lock();
        try {
            misbehaviour = new Misbehaviour(
                    Double.parseDouble(parameter(context, "slowness", "1")),
                    Boolean.parseBoolean(parameter(context, "noisy", "false")),
                    Boolean.parseBoolean(parameter(context, "fail_fast", "false")),
                    Boolean.parseBoolean(parameter(context, "draining", "false")),
                    Boolean.parseBoolean(parameter(context, "report_idle", "false")));
            return HttpResponse.of(HttpStatus.OK);
        } finally {
            lock.unlock();
        }
    }

    private HttpResponse counts() {
        lock.lock();
        try {
            return HttpResponse.of(
                    MediaType.PLAIN_TEXT_UTF_8,
                    "runs=%d probes=%d cancelled=%d busy=%d".formatted(runs, probes, cancelled, busy));
        } finally {
            lock.unlock();
        }
    }

    /** Answers a health check. The answer is always "healthy", also while the target misbehaves. */
    private HttpResponse health() {
        lock.lock();
        try {
            probes++;
            return HttpResponse.of(
                    ResponseHeaders.of(HttpStatus.OK, "anvilpick-in-flight", String.valueOf(reportedLoad())));
        } finally {
            lock.unlock();
        }
    }

    /** Records whether the server of the target is stopped. */
    void setDown(boolean value) {
        lock.lock();
        try {
            down = value;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether a slot is free, no call waits, and a new call would be answered successfully. */
    boolean isFree() {
        lock.lock();
        try {
            return !down
                    && busy < settings.slots()
                    && waiting.isEmpty()
                    && !misbehaviour.draining()
                    && !misbehaviour.failFast();
        } finally {
            lock.unlock();
        }
    }

    /** Returns the factor by which the service time of a call that starts now is multiplied. */
    double trueFactor() {
        lock.lock();
        try {
            boolean cold = System.nanoTime() - startedNanos < settings.coldMillis() * NANOS_PER_MILLI;
            return misbehaviour.slowness() * noise() * (cold ? COLD_FACTOR : 1);
        } finally {
            lock.unlock();
        }
    }

    private static String parameter(ServiceRequestContext context, String name, String defaultValue) {
        String value = context.queryParam(name);
        return value == null ? defaultValue : value;
    }
}
