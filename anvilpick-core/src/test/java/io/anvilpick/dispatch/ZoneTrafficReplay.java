package io.anvilpick.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.RequestConfig;
import io.anvilpick.config.ServiceConfig;
import io.anvilpick.config.TargetConfig;
import io.anvilpick.limits.WindowBudget;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Replays the calls of many daemons in several zones against model targets, in injected time.
 *
 * <p>A target has slots and a queue of twice as many calls, and rejects what exceeds them. Its VM is five times slower in some of
 * the steps of 150 ms, and a call that starts while more than 0.8 of the slots are used takes 1.7 times as long. Probes report
 * the load at the moment of the probe. The daemons probe and wait as the entry runner does, and send no hedges.
 */
final class ZoneTrafficReplay {
    static final Duration GOAL = Duration.ofMillis(1_200);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final Duration WORK = Duration.ofMillis(400);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration NEAR_ONE_WAY = Duration.ofNanos(250_000);
    private static final long NOISE_STEP_NANOS = 150_000_000;
    private static final double NOISE_FACTOR = 5;
    private static final double KNEE_SHARE = 0.8;
    private static final double KNEE_FACTOR = 1.7;
    private static final int PROBED_PER_ROUND = 4;
    private static final int PROBE_ROUNDS = 2;
    private static final double MEAN_ANSWER_BYTES = 20_000;
    private static final long CONNECTION_IDLE_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_SENDS = 4;
    private static final RequestConfig LOOKUP =
            new RequestConfig("lookup", "*", "/", true, false, TIMEOUT.toMillis(), 1);

    /**
     * One replay.
     *
     * @param targets the targets of each zone
     * @param daemons the daemons of each zone
     * @param noise the share of the time for which the VMs of each zone are slow
     * @param demand the calls a second in each zone
     * @param lostZone the zone whose targets are unreachable for a while; -1 for none
     */
    record Scenario(
            String name,
            int[] targets,
            int[] daemons,
            double[] noise,
            Demand demand,
            Duration oneWay,
            int seconds,
            int lostZone,
            int lostFromSecond,
            int lostToSecond) {}

    /** The calls a second in a zone. */
    @FunctionalInterface
    interface Demand {
        double perSecond(int zone, double second);
    }

    /** Builds the dispatcher of one daemon. */
    @FunctionalInterface
    interface DispatcherFactory {
        Dispatcher create(DispatcherBuilder builder, String daemon);
    }

    /**
     * What a replay has measured.
     *
     * @param inGoal the share of calls that were answered within the goal
     * @param far the share of sends that left the zone
     * @param farMegabytes the bytes of answers from other zones
     * @param newConnections the sends to far targets that the daemon had not used for 10 s
     * @param worstSecond the share answered within the goal among the calls of the worst second
     * @param rejected the calls that targets rejected
     * @param rejectedFar those of them that had left the zone
     */
    record Result(
            int calls,
            double inGoal,
            double answered,
            double far,
            double farMegabytes,
            int newConnections,
            double worstSecond,
            int rejected,
            int rejectedFar,
            double[] farBySecond,
            Map<String, Integer> farByZonePair) {
        @Override
        public String toString() {
            return "calls=%d in_goal=%.3f answered=%.3f far=%.3f far_mb=%.0f new_connections=%d worst_second=%.2f rejected=%d"
                    .formatted(calls, inGoal, answered, far, farMegabytes, newConnections, worstSecond, rejected);
        }
    }

    private record Event(long atNanos, long number, Runnable action) {}

    private record Daemon(int zone, String name, Dispatcher dispatcher, Map<String, Long> lastFarUse) {}

    private record Client(Daemon daemon, long startNanos, Set<String> failed) {}

    private final class Target {
        private final TargetConfig config;
        private final int zone;
        private final long seed;
        private final Queue<Runnable> waiting = new ArrayDeque<>();
        private int running;

        private Target(TargetConfig config, int zone, long seed) {
            this.config = config;
            this.zone = zone;
            this.seed = seed;
        }

        private boolean isSlow(long nanos) {
            long step = nanos / NOISE_STEP_NANOS;
            return new SplittableRandom(seed * 31 + step).nextDouble() < scenario.noise()[zone];
        }

        private boolean isLost() {
            double second = time.nanos() / 1e9;
            return zone == scenario.lostZone()
                    && second >= scenario.lostFromSecond()
                    && second < scenario.lostToSecond();
        }

        private LoadReport report() {
            return new LoadReport(running, waiting.size(), isSlow(time.nanos()) ? NOISE_FACTOR : 1);
        }

        private boolean offer(Runnable onAnswer) {
            if (running < SLOTS) {
                start(onAnswer);
                return true;
            }
            if (waiting.size() >= 2 * SLOTS) {
                return false;
            }
            waiting.add(onAnswer);
            return true;
        }

        private void start(Runnable onAnswer) {
            running++;
            double factor = running > KNEE_SHARE * SLOTS ? KNEE_FACTOR : 1;
            double workNanos = WORK.toNanos() * factor * (0.6 + 0.8 * random.nextDouble());
            at(endOf(workNanos), () -> {
                running--;
                Runnable next = waiting.poll();
                if (next != null) {
                    start(next);
                }
                onAnswer.run();
            });
        }

        private long endOf(double workNanos) {
            long now = time.nanos();
            double left = workNanos;
            while (true) {
                double speed = isSlow(now) ? 1 / NOISE_FACTOR : 1;
                long stepEnd = (now / NOISE_STEP_NANOS + 1) * NOISE_STEP_NANOS;
                if (left <= (stepEnd - now) * speed) {
                    return now + (long) (left / speed);
                }
                left -= (stepEnd - now) * speed;
                now = stepEnd;
            }
        }
    }

    static final int SLOTS = 3;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final List<List<Daemon>> daemons = new ArrayList<>();
    private final Map<String, Target> targets = new HashMap<>();
    private final Map<Long, Client> clients = new HashMap<>();
    private final Map<String, Integer> farByZonePair = new HashMap<>();
    private final Scenario scenario;
    private final SplittableRandom random;
    private final int[] callsBySecond;
    private final int[] inGoalBySecond;
    private final int[] sendsBySecond;
    private final int[] farBySecond;
    private long nextNumber;
    private int answered;
    private int rejected;
    private int rejectedFar;
    private int newConnections;
    private double farBytes;

    ZoneTrafficReplay(Scenario scenario, DispatcherFactory factory, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        this.callsBySecond = new int[scenario.seconds()];
        this.inGoalBySecond = new int[scenario.seconds()];
        this.sendsBySecond = new int[scenario.seconds() + 10];
        this.farBySecond = new int[scenario.seconds() + 10];
        build(factory);
    }

    static String zoneName(int zone) {
        return "z" + zone;
    }

    private void build(DispatcherFactory factory) {
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        ImmutableMap.Builder<String, TargetTraits> traits = ImmutableMap.builder();
        for (int zone = 0; zone < scenario.targets().length; zone++) {
            for (int i = 0; i < scenario.targets()[zone]; i++) {
                String id = zoneName(zone) + "t" + i;
                TargetConfig config = new TargetConfig(id, "10.0." + zone + "." + i, 80, zoneName(zone), false);
                configs.add(config);
                traits.put(id, new TargetTraits(SLOTS, new Deadline(0), 1));
                targets.put(id, new Target(config, zone, random.nextLong()));
            }
        }
        ServiceConfig service = ServiceConfig.builder("s")
                .slotsPerTarget(SLOTS)
                .requests(ImmutableList.of())
                .targets(configs.build())
                .build();
        int count = 0;
        for (int each : scenario.daemons()) {
            count += each;
        }
        for (int zone = 0; zone < scenario.daemons().length; zone++) {
            List<Daemon> ofZone = new ArrayList<>();
            for (int i = 0; i < scenario.daemons()[zone]; i++) {
                String name = zoneName(zone) + "d" + i;
                DispatcherBuilder builder = Dispatcher.builder()
                        .time(time)
                        .random(random.split())
                        .policy(new TargetPolicy.EarliestAnswer(zoneName(zone)))
                        .extraCalls(WindowBudget.of(time, 0.2, 200.0 / count, Duration.ofSeconds(10)));
                Dispatcher dispatcher = factory.create(builder, name);
                dispatcher.configure(service, traits.buildOrThrow());
                ofZone.add(new Daemon(zone, name, dispatcher, new HashMap<>()));
            }
            daemons.add(ofZone);
        }
    }

    private void at(long nanos, Runnable action) {
        events.add(new Event(nanos, nextNumber++, action));
    }

    private void after(Duration delay, Runnable action) {
        at(time.nanos() + delay.toNanos(), action);
    }

    Result run() {
        for (int zone = 0; zone < scenario.daemons().length; zone++) {
            scheduleArrivals(zone);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            time.advance(Duration.ofNanos(event.atNanos() - time.nanos()));
            event.action().run();
        }
        return result();
    }

    /** Returns the dispatchers of a zone. */
    List<Dispatcher> dispatchersOf(int zone) {
        return daemons.get(zone).stream().map(Daemon::dispatcher).toList();
    }

    /** Runs {@code action} at each of the instants that are {@code interval} apart. */
    void observe(Duration interval, Runnable action) {
        for (long nanos = interval.toNanos(); nanos < scenario.seconds() * SECOND_NANOS; nanos += interval.toNanos()) {
            at(nanos, action);
        }
    }

    double nowSeconds() {
        return time.nanos() / 1e9;
    }

    private void scheduleArrivals(int zone) {
        double highest = 0;
        for (double second = 0; second < scenario.seconds(); second += 0.1) {
            highest = Math.max(highest, scenario.demand().perSecond(zone, second));
        }
        double second = 0;
        while (highest > 0) {
            second += -Math.log(1 - random.nextDouble()) / highest;
            if (second >= scenario.seconds()) {
                return;
            }
            if (random.nextDouble() * highest < scenario.demand().perSecond(zone, second)) {
                Daemon daemon =
                        daemons.get(zone).get(random.nextInt(daemons.get(zone).size()));
                at((long) (second * 1e9), () -> arrive(daemon));
            }
        }
    }

    private void arrive(Daemon daemon) {
        long now = time.nanos();
        callsBySecond[(int) (now / SECOND_NANOS)]++;
        Call call = new Call(
                nextNumber++, "", LOOKUP, new Deadline(now + TIMEOUT.toNanos()), new Deadline(now + GOAL.toNanos()));
        clients.put(call.id(), new Client(daemon, now, new HashSet<>()));
        probe(daemon, call, Set.of(), () -> admit(call, daemon.dispatcher().submit(call)));
    }

    private Duration oneWay(Daemon daemon, Target target) {
        return daemon.zone() == target.zone ? NEAR_ONE_WAY : scenario.oneWay();
    }

    private void probe(Daemon daemon, Call call, Set<String> excluded, Runnable then) {
        Duration elapsed = Duration.ZERO;
        for (int round = 0; round < PROBE_ROUNDS; round++) {
            ImmutableList<TargetConfig> probed = daemon.dispatcher().targetsToProbe(call, excluded, PROBED_PER_ROUND);
            Duration slowest = Duration.ZERO;
            for (TargetConfig config : probed) {
                Target target = targets.get(config.id());
                if (target.isLost()) {
                    daemon.dispatcher().recordFailedProbe(config.id());
                    continue;
                }
                daemon.dispatcher().recordLoadReport(config.id(), target.report());
                Duration roundTrip = oneWay(daemon, target).multipliedBy(2);
                slowest = slowest.compareTo(roundTrip) > 0 ? slowest : roundTrip;
            }
            elapsed = elapsed.plus(slowest);
            if (probed.isEmpty()) {
                break;
            }
        }
        after(elapsed, then);
    }

    private void admit(Call call, Admission admission) {
        switch (admission) {
            case Admission.Assigned assigned -> send(assigned.assignment());
            case Admission.Refused ignored -> clients.remove(call.id());
            case Admission.Waiting ignored -> pollLater(call);
        }
    }

    private void pollLater(Call call) {
        after(POLL, () -> {
            Client client = clients.get(call.id());
            if (client == null) {
                return;
            }
            Dispatcher dispatcher = client.daemon().dispatcher();
            if (dispatcher.withdrawIfLate(call).isPresent()) {
                clients.remove(call.id());
                return;
            }
            probe(client.daemon(), call, Set.of(), () -> apply(dispatcher.dispatch()));
            pollLater(call);
        });
    }

    private void apply(DispatchResult result) {
        result.refused().forEach(refusal -> clients.remove(refusal.call().id()));
        result.assigned().forEach(this::send);
    }

    private void send(Assignment assignment) {
        Client client = clients.get(assignment.call().id());
        Daemon daemon = client.daemon();
        Target target = targets.get(assignment.target().id());
        countSend(daemon, target);
        after(oneWay(daemon, target), () -> {
            if (target.isLost()) {
                fail(assignment, new CallResult.ConnectFailed());
                return;
            }
            boolean taken = target.offer(() -> after(oneWay(daemon, target), () -> answer(assignment, target)));
            if (!taken) {
                rejected++;
                rejectedFar += daemon.zone() == target.zone ? 0 : 1;
                fail(assignment, new CallResult.Shed(new TargetNotice.None()));
            }
        });
    }

    private void countSend(Daemon daemon, Target target) {
        int second = (int) Math.min(sendsBySecond.length - 1, time.nanos() / SECOND_NANOS);
        sendsBySecond[second]++;
        if (daemon.zone() == target.zone) {
            return;
        }
        farBySecond[second]++;
        farByZonePair.merge(zoneName(daemon.zone()) + ">" + zoneName(target.zone), 1, Integer::sum);
        Long last = daemon.lastFarUse().put(target.config.id(), time.nanos());
        newConnections += last == null || time.nanos() - last > CONNECTION_IDLE_NANOS ? 1 : 0;
    }

    private void fail(Assignment assignment, CallResult result) {
        Call call = assignment.call();
        Client client = clients.get(call.id());
        Dispatcher dispatcher = client.daemon().dispatcher();
        client.failed().add(assignment.target().id());
        apply(dispatcher.finish(assignment, result));
        if (client.failed().size() >= MAX_SENDS) {
            clients.remove(call.id());
            return;
        }
        boolean arrived = result instanceof CallResult.Shed;
        probe(
                client.daemon(),
                call,
                client.failed(),
                () -> admit(
                        call,
                        arrived
                                ? dispatcher.retry(call, client.failed())
                                : dispatcher.resubmit(call, client.failed())));
    }

    private void answer(Assignment assignment, Target target) {
        Client client = clients.remove(assignment.call().id());
        long latency = time.nanos() - client.startNanos();
        if (latency <= TIMEOUT.toNanos()) {
            answered++;
            inGoalBySecond[(int) (client.startNanos() / SECOND_NANOS)] += latency <= GOAL.toNanos() ? 1 : 0;
        }
        if (client.daemon().zone() != target.zone) {
            farBytes += MEAN_ANSWER_BYTES * -Math.log(1 - random.nextDouble());
        }
        apply(client.daemon()
                .dispatcher()
                .finish(assignment, new CallResult.Answered(Optional.of(target.report()), false)));
    }

    private Result result() {
        int calls = 0;
        int inGoal = 0;
        int sends = 0;
        int far = 0;
        double worst = 1;
        for (int second = 0; second < scenario.seconds(); second++) {
            calls += callsBySecond[second];
            inGoal += inGoalBySecond[second];
            if (second > 0 && callsBySecond[second] > 0) {
                worst = Math.min(worst, (double) inGoalBySecond[second] / callsBySecond[second]);
            }
        }
        double[] farShares = new double[scenario.seconds()];
        for (int second = 0; second < sendsBySecond.length; second++) {
            sends += sendsBySecond[second];
            far += farBySecond[second];
            if (second < farShares.length) {
                farShares[second] = (double) farBySecond[second] / Math.max(1, sendsBySecond[second]);
            }
        }
        return new Result(
                calls,
                (double) inGoal / calls,
                (double) answered / calls,
                (double) far / Math.max(1, sends),
                farBytes / 1e6,
                newConnections,
                worst,
                rejected,
                rejectedFar,
                farShares,
                farByZonePair);
    }
}
