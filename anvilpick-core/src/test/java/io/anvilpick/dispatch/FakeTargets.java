package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import io.anvilpick.config.Configuration;
import io.anvilpick.config.Contract;
import io.anvilpick.config.Operator;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.config.TenantConfig;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;

/** Fake targets behind one dispatcher, in virtual time; every chance comes from a seed. */
final class FakeTargets {
    static final RequestConfig LOOKUP = new RequestConfig("lookup", "GET", "/rows", true, false, 1_000, 0);
    static final RequestConfig CHARGE = new RequestConfig("charge", "POST", "/charges", false, true, 1_000, 0);

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEAN_MILLIS = 20;

    final ManualTimeSource time = ManualTimeSource.startingAt(0);
    final Dispatcher dispatcher;
    final Map<Integer, Integer> callsByTarget = new HashMap<>();
    final Map<String, List<Double>> latenciesByTenant = new HashMap<>();
    final Map<String, Integer> refusedByTenant = new HashMap<>();
    final Set<Integer> draining = new HashSet<>();
    final Set<Integer> failingFast = new HashSet<>();
    int hedges;
    int calls;
    int failures;

    private final int slots;
    private final SplittableRandom random;
    private final List<FakeTarget> targets = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Long, Running> running = new HashMap<>();
    private final RequestConfig request;
    private IntToDoubleFunction slowness = target -> 1;
    private long nextId;

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A call of a caller, with the assignments that are out for it. */
    private static final class Running {
        private final Call call;
        private final long dueNanos;
        private final List<Assignment> out = new ArrayList<>();
        private boolean ended;

        private Running(Call call, long dueNanos) {
            this.call = call;
            this.dueNanos = dueNanos;
        }
    }

    private static final class FakeTarget {
        private final Deque<Assignment> queue = new ArrayDeque<>();
        private final Set<Long> busy = new HashSet<>();
    }

    FakeTargets(int count, int slots, TargetPolicy policy, RequestConfig request, long seed) {
        this.slots = slots;
        this.request = request;
        this.random = new SplittableRandom(seed);
        this.dispatcher = Dispatcher.builder()
                .time(time)
                .random(random.split())
                .policy(policy)
                .build();
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            targets.add(new FakeTarget());
            configs.add(new TargetConfig("t" + i, "127.0.0.1", 9_000 + i, "z" + i % 3, false));
        }
        ServiceConfig service = ServiceConfig.builder("rowboard")
                .slotsPerTarget(slots)
                .requests(List.of(request))
                .targets(configs.build())
                .build();
        dispatcher.configure(service, configurationOf(service));
    }

    static Configuration configurationOf(ServiceConfig service) {
        Contract contract =
                new Contract(new Operator("operator", "key"), "term", 1, Long.MAX_VALUE, java.util.Optional.empty());
        return new Configuration(
                contract,
                ImmutableList.of(new TenantConfig("a", 1), new TenantConfig("b", 1), new TenantConfig("c", 1)),
                ImmutableSortedMap.of(service.name(), service));
    }

    /** Makes target {@code i} slower by a factor that may change with time. */
    void slowness(IntToDoubleFunction factor) {
        slowness = factor;
    }

    /** Starts calls of {@code tenant} at random times for {@code duration}. */
    void offer(String tenant, double perSecond, Duration duration) {
        long end = time.nanos() + duration.toNanos();
        long due = time.nanos();
        while (due < end) {
            due += (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
            long at = due;
            schedule(at, () -> arrive(tenant, at));
        }
    }

    /** Runs until nothing is left to happen, or until {@code most} has passed. */
    void run(Duration most) {
        long end = time.nanos() + most.toNanos();
        while (!events.isEmpty() && events.peek().atNanos() <= end) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(Math.max(0, event.atNanos() - time.nanos())));
            event.action().run();
        }
    }

    double latencyMillis(String tenant, double quantile) {
        double[] sorted = latenciesByTenant.getOrDefault(tenant, List.of()).stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, sorted.length * quantile)];
    }

    int answered() {
        return latenciesByTenant.values().stream().mapToInt(List::size).sum();
    }

    int refused() {
        return refusedByTenant.values().stream().mapToInt(Integer::intValue).sum();
    }

    double now() {
        return time.nanos() / NANOS_PER_MILLI;
    }

    private void arrive(String tenant, long dueNanos) {
        calls++;
        Call call = new Call(nextId++, tenant, request, new Deadline(dueNanos + 1_000_000_000L));
        running.put(call.id(), new Running(call, dueNanos));
        switch (dispatcher.submit(call)) {
            case Admission.Assigned assigned -> send(assigned.assignment());
            case Admission.Refused refused -> refuse(call, refused.kind());
            case Admission.Waiting ignored -> poll(call);
        }
    }

    /** A waiting call asks again every 20 ms, and is given up at its deadline, as the waiting room does. */
    private void poll(Call call) {
        schedule(time.nanos() + 20_000_000L, () -> {
            Running own = running.get(call.id());
            if (own == null || !own.out.isEmpty()) {
                return;
            }
            if (call.deadline().hasPassed(time) && dispatcher.cancel(call)) {
                refuse(call, ErrorKind.DEADLINE_BEFORE_SEND);
                return;
            }
            carryOut(dispatcher.dispatch());
            poll(call);
        });
    }

    private void refuse(Call call, ErrorKind kind) {
        running.remove(call.id());
        refusedByTenant.merge(call.tenant(), 1, Integer::sum);
        if (kind == ErrorKind.NO_TARGET) {
            failures++;
        }
    }

    private void carryOut(DispatchResult dispatch) {
        dispatch.assigned().forEach(this::send);
        dispatch.expired().forEach(call -> refuse(call, ErrorKind.DEADLINE_BEFORE_SEND));
    }

    private void send(Assignment assignment) {
        Running own = running.get(assignment.call().id());
        own.out.add(assignment);
        int index = indexOf(assignment);
        callsByTarget.merge(index, 1, Integer::sum);
        if (draining.contains(index)) {
            schedule(time.nanos() + 300_000, () -> end(assignment, new CallResult.Shed(true)));
            return;
        }
        if (failingFast.contains(index)) {
            schedule(
                    time.nanos() + 300_000,
                    () -> end(assignment, new CallResult.Answered(Optional.of(LoadReport.ofInFlight(0)), true, false)));
            return;
        }
        targets.get(index).queue.add(assignment);
        startWaiting(index);
        long delay = dispatcher.hedgeDelayNanos(request);
        if (own.out.size() == 1 && delay > 0) {
            schedule(time.nanos() + delay, () -> hedge(own, assignment));
        }
    }

    private void hedge(Running own, Assignment first) {
        if (own.ended || !running.containsKey(own.call.id())) {
            return;
        }
        dispatcher.hedge(first).ifPresent(second -> {
            hedges++;
            send(second);
        });
    }

    private void startWaiting(int index) {
        FakeTarget target = targets.get(index);
        while (target.busy.size() < slots && !target.queue.isEmpty()) {
            Assignment next = target.queue.poll();
            target.busy.add(next.id());
            double drawn =
                    MEAN_MILLIS * (0.5 - 0.5 * Math.log(1 - random.nextDouble())) * slowness.applyAsDouble(index);
            schedule(time.nanos() + (long) (drawn * NANOS_PER_MILLI), () -> finish(index, next));
        }
    }

    private void finish(int index, Assignment assignment) {
        if (!targets.get(index).busy.remove(assignment.id())) {
            return;
        }
        startWaiting(index);
        end(assignment, new CallResult.Answered(Optional.empty(), false, false));
    }

    private void end(Assignment assignment, CallResult result) {
        Running own = running.get(assignment.call().id());
        carryOut(dispatcher.finish(assignment, result));
        if (own == null || own.ended) {
            return;
        }
        if (!(result instanceof CallResult.Answered answered) || answered.failed()) {
            failures++;
            own.ended = true;
            running.remove(own.call.id());
            return;
        }
        own.ended = true;
        running.remove(own.call.id());
        latenciesByTenant
                .computeIfAbsent(own.call.tenant(), tenant -> new ArrayList<>())
                .add((time.nanos() - own.dueNanos) / NANOS_PER_MILLI);
        for (Assignment other : own.out) {
            if (other.id() != assignment.id()) {
                cancel(other);
            }
        }
    }

    private void cancel(Assignment assignment) {
        FakeTarget target = targets.get(indexOf(assignment));
        target.queue.remove(assignment);
        target.busy.remove(assignment.id());
        startWaiting(indexOf(assignment));
        carryOut(dispatcher.finish(assignment, new CallResult.Cancelled()));
    }

    private static int indexOf(Assignment assignment) {
        return Integer.parseInt(assignment.target().id().substring(1));
    }

    private void schedule(long atNanos, Runnable action) {
        events.add(new Event(atNanos, nextId++, action));
    }

    static String percentiles(FakeTargets fake) {
        double[] all = fake.latenciesByTenant.values().stream()
                .flatMap(List::stream)
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return Arrays.stream(new double[] {0.5, 0.9, 0.99, 0.999})
                .mapToObj(quantile -> "%.1f".formatted(all[(int) (all.length * quantile)]))
                .toList()
                .toString();
    }
}
