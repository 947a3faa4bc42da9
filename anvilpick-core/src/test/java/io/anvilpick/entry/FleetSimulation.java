package io.anvilpick.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.dispatch.Admission;
import io.anvilpick.dispatch.Assignment;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.CallResult;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.dispatch.LoadReport;
import io.anvilpick.dispatch.TargetTraits;
import io.anvilpick.error.ErrorKind;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.FleetSamples;
import io.anvilpick.fleet.FleetState;
import io.anvilpick.fleet.RegisteredTarget;
import io.anvilpick.routes.ColdStart;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Daemons, targets and a store without network, in injected time. Each daemon has a {@link FleetState} and {@link EntryDispatchers}
 * of its own and receives each change of the store after a delay of its own.
 */
final class FleetSimulation {
    static final String SERVICE = "s";
    static final int URGENT = 0;
    static final int DEFERRABLE = 5;
    static final Duration WORK = Duration.ofMillis(200);

    /** The longest time until a daemon that can reach the store knows a change. */
    static final Duration MAX_DELIVERY = Duration.ofMillis(1_200);

    private static final RequestConfig URGENT_CLASS = new RequestConfig("urgent", "*", "/", true, false, 2_000, URGENT);
    private static final RequestConfig DEFERRABLE_CLASS =
            new RequestConfig("deferrable", "*", "/", true, false, 2_000, DEFERRABLE);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration GOAL = Duration.ofMillis(800);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration HEDGE_AFTER = Duration.ofMillis(150);
    private static final double HEDGED_SHARE = 0.05;
    private static final double FAILED_SHARE = 0.02;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int PROBES_PER_ROUND = 4;
    private static final int CONNECTIONS_PER_TARGET = 10_000;

    final ManualTimeSource time = ManualTimeSource.startingAt(0);
    final List<Daemon> daemons = new ArrayList<>();
    final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
    final Map<ErrorKind, Integer> refusals = new HashMap<>();
    final Map<Integer, Integer> calls = new HashMap<>();
    final Map<Integer, Integer> answeredInTime = new HashMap<>();
    private final Map<String, FleetChange> stored = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final SplittableRandom random;
    private long nextNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    /** A target and what has reached it. */
    static final class SimulatedTarget {
        final TargetConfig config;
        final int slots;
        final List<Long> callTimes = new ArrayList<>();
        final List<Long> probeTimes = new ArrayList<>();

        /** What the target states in reply to probes about when it is warm. */
        Optional<Deadline> statedWarmAt = Optional.empty();

        private int running;

        private SimulatedTarget(TargetConfig config, int slots) {
            this.config = config;
            this.slots = slots;
        }
    }

    /** A daemon, which can be restarted. */
    final class Daemon {
        final String name;
        final String zone;
        FleetState state;
        EntryDispatchers dispatchers;

        /** Whether the store's changes reach the daemon. */
        boolean reachesStore = true;

        private int starts;

        private Daemon(String name, String zone) {
            this.name = name;
            this.zone = zone;
            restart();
        }

        /** Starts anew with what the store holds, or with nothing if the store cannot be reached. */
        void restart() {
            starts++;
            dispatchers = new EntryDispatchers(
                    time, random::split, new SharedBudget(0.2, 400, Duration.ofSeconds(10)), zone, name);
            state = new FleetState(time, dispatchers::update);
            readStore();
        }

        private void readStore() {
            if (reachesStore) {
                state.replaceAll(ImmutableList.copyOf(stored.values()));
            } else {
                state.onStoreUnavailable("cut off");
            }
        }

        /** Ends an outage of the store at this daemon. */
        void reconnect() {
            reachesStore = true;
            state.onStoreAnswered();
            readStore();
        }

        private void deliver(FleetChange change) {
            if (reachesStore) {
                state.apply(List.of(change));
            }
        }
    }

    FleetSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    void configure(Optional<ColdStart> coldStart) {
        RouteConfiguration configuration = new RouteConfiguration(
                1,
                RouteTable.of(ImmutableList.of()),
                ImmutableMap.of(
                        SERVICE,
                        new RouteConfiguration.ServiceSettings(
                                Optional.of("/healthz"), CONNECTIONS_PER_TARGET, coldStart)),
                new RequestLimits(1_000));
        stored.put("configuration", new FleetChange.ConfigurationWritten(configuration));
    }

    /** Registers {@code count} targets in {@code zone} that state that they are cold until {@code warmAt}. */
    void addTargets(String zone, int count, int slots, Deadline warmAt) {
        for (int i = 0; i < count; i++) {
            TargetConfig config =
                    new TargetConfig(zone + "-" + i, "10.0.%d.%d".formatted(zone.charAt(0) - 'a', i), 80, zone, false);
            targets.put(config.id(), new SimulatedTarget(config, slots));
            stored.put(
                    config.id(),
                    new FleetChange.TargetRegistered(
                            new RegisteredTarget(config, SERVICE, new TargetTraits(slots, warmAt, 1))));
        }
    }

    /** Creates {@code count} daemons, one after the other in each of {@code zones}. */
    void addDaemons(int count, String... zones) {
        for (int i = 0; i < count; i++) {
            String name = "daemon-" + i;
            stored.put(name, new FleetChange.MemberRegistered(FleetSamples.member(name, zones[i % zones.length])));
        }
        for (int i = 0; i < count; i++) {
            daemons.add(new Daemon("daemon-" + i, zones[i % zones.length]));
        }
    }

    void evacuate(String zone) {
        FleetChange change = new FleetChange.ZoneEvacuated(zone);
        stored.put("evacuate/" + zone, change);
        deliver(change);
    }

    void endEvacuation(String zone) {
        stored.remove("evacuate/" + zone);
        deliver(new FleetChange.ZoneReturned(zone));
    }

    private void deliver(FleetChange change) {
        for (Daemon daemon : daemons) {
            int starts = daemon.starts;
            after(Duration.ofNanos(random.nextLong(MAX_DELIVERY.toNanos())), () -> {
                if (daemon.starts == starts) {
                    daemon.deliver(change);
                }
            });
        }
    }

    void at(Duration start, Runnable action) {
        events.add(new Event(start.toNanos(), nextNumber++, action));
    }

    private void after(Duration delay, Runnable action) {
        events.add(new Event(time.nanos() + delay.toNanos(), nextNumber++, action));
    }

    /** Schedules calls from {@code from} to {@code to}, at random daemons; {@code urgentShare} of them are urgent. */
    void addCalls(Duration from, Duration to, double perSecond, double urgentShare) {
        double now = from.toNanos();
        while (now < to.toNanos()) {
            now += NANOS_PER_SECOND / perSecond * -Math.log(1 - random.nextDouble());
            RequestConfig request = random.nextDouble() < urgentShare ? URGENT_CLASS : DEFERRABLE_CLASS;
            Daemon daemon = daemons.get(random.nextInt(daemons.size()));
            events.add(new Event((long) now, nextNumber++, () -> arrive(daemon, request)));
        }
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(event.atNanos() - time.nanos()));
            event.action().run();
        }
    }

    /** Returns the share of the calls of {@code priority} that were answered within their goal. */
    double shareInTime(int priority) {
        return (double) answeredInTime.getOrDefault(priority, 0) / calls.getOrDefault(priority, 0);
    }

    int refused(ErrorKind kind) {
        return refusals.getOrDefault(kind, 0);
    }

    private void arrive(Daemon daemon, RequestConfig request) {
        Optional<Dispatcher> dispatcher = daemon.dispatchers.find(SERVICE);
        if (dispatcher.isEmpty()) {
            refusals.merge(ErrorKind.NO_CONFIGURATION, 1, Integer::sum);
            return;
        }
        calls.merge(request.priority(), 1, Integer::sum);
        Call call = new Call(nextNumber++, "", request, Deadline.after(time, TIMEOUT), Deadline.after(time, GOAL));
        RunningCall running = new RunningCall(daemon, dispatcher.get(), call);
        probe(running);
        running.admit(dispatcher.get().submit(call));
    }

    private void probe(RunningCall running) {
        for (TargetConfig config : running.dispatcher.targetsToProbe(running.call, Set.of(), PROBES_PER_ROUND)) {
            SimulatedTarget target = targets.get(config.id());
            target.probeTimes.add(time.nanos());
            running.dispatcher.recordLoadReport(config.id(), reportOf(target));
        }
    }

    private LoadReport reportOf(SimulatedTarget target) {
        return new LoadReport(
                Math.min(target.slots, target.running),
                Math.max(0, target.running - target.slots),
                1,
                target.statedWarmAt);
    }

    /** A call at a daemon until its first answer. */
    private final class RunningCall {
        private final Daemon daemon;
        private final int start;
        private final Dispatcher dispatcher;
        private final Call call;
        private boolean done;

        private RunningCall(Daemon daemon, Dispatcher dispatcher, Call call) {
            this.daemon = daemon;
            this.start = daemon.starts;
            this.dispatcher = dispatcher;
            this.call = call;
            waiting.put(call.id(), this);
        }

        /** Returns whether the daemon was killed since the call arrived. It then sends nothing more. */
        private boolean isKilled() {
            return daemon.starts != start;
        }

        private void admit(Admission admission) {
            switch (admission) {
                case Admission.Assigned assigned -> send(assigned.assignment());
                case Admission.Refused refused -> refuse(refused.kind());
                case Admission.Waiting ignored -> pollLater();
            }
        }

        private void refuse(ErrorKind kind) {
            waiting.remove(call.id());
            done = true;
            refusals.merge(kind, 1, Integer::sum);
        }

        private void pollLater() {
            after(POLL, () -> {
                if (!waiting.containsKey(call.id()) || isKilled()) {
                    return;
                }
                Optional<ErrorKind> refusal = dispatcher.withdrawIfLate(call);
                if (refusal.isPresent()) {
                    refuse(refusal.get());
                    return;
                }
                probe(this);
                apply(dispatcher.dispatch());
                pollLater();
            });
        }

        private void send(Assignment assignment) {
            waiting.remove(call.id());
            SimulatedTarget target = targets.get(assignment.target().id());
            target.callTimes.add(time.nanos());
            target.running++;
            double turns = Math.max(1, (double) target.running / target.slots);
            boolean fails = random.nextDouble() < FAILED_SHARE;
            after(Duration.ofNanos((long) (WORK.toNanos() * turns)), () -> end(assignment, target, fails));
            if (random.nextDouble() < HEDGED_SHARE) {
                after(HEDGE_AFTER, () -> {
                    if (!done && !isKilled()) {
                        dispatcher.hedge(assignment).ifPresent(this::send);
                    }
                });
            }
        }

        private void end(Assignment assignment, SimulatedTarget target, boolean fails) {
            target.running--;
            if (isKilled()) {
                return;
            }
            apply(dispatcher.finish(assignment, new CallResult.Answered(Optional.of(reportOf(target)), fails)));
            if (done) {
                return;
            }
            if (fails) {
                waiting.put(call.id(), this);
                admit(dispatcher.retry(call, Set.of(target.config.id())));
                return;
            }
            done = true;
            if (call.goal().remainingNanos(time.nanos()) >= 0) {
                answeredInTime.merge(call.request().priority(), 1, Integer::sum);
            }
        }

        private void apply(DispatchResult result) {
            result.refused().forEach(refusal -> ofCall(refusal.call()).refuse(refusal.kind()));
            result.assigned().forEach(assignment -> ofCall(assignment.call()).send(assignment));
        }
    }

    private final Map<Long, RunningCall> waiting = new HashMap<>();

    private RunningCall ofCall(Call call) {
        return waiting.get(call.id());
    }
}
