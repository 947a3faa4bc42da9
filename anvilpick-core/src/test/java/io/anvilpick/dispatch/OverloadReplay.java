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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Replays the load of a hard day in virtual time: several daemons share targets without a queue, one request class bursts to 2.4
 * times its usual rate for 5 s, and one tenant sends 5.7 times its usual load. A target is five times slower for 150 ms at a time, a
 * quarter of the time, and 1.7 times slower when more than 0.8 of its slots are used. A refused caller returns once.
 */
final class OverloadReplay {
    static final String FLOODING = "t0";
    static final String LEAST_URGENT = "t19";

    private static final int DAEMONS = 5;
    private static final int TARGETS = 24;
    private static final int SLOTS = 6;
    private static final int TENANTS = 20;
    private static final double WORK_MILLIS = 60;
    private static final double SLOW_SHARE = 0.25;
    private static final double SLOW_FACTOR = 5;
    private static final double NEARLY_FULL = 0.8;
    private static final double NEARLY_FULL_FACTOR = 1.7;
    private static final Duration SLOW_STEP = Duration.ofMillis(150);
    private static final Duration LINK = Duration.ofMillis(1);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration USUAL_RETURN = Duration.ofMillis(300);
    private static final double BURST = 2.4;
    private static final double FLOOD = 5.7;
    private static final int SECONDS = 12;
    private static final int BURST_FROM = 3;
    private static final int BURST_TO = 8;
    private static final int MAX_SENDS = 6;
    private static final int PROBES_PER_ROUND = 4;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private final List<Dispatcher> daemons = new ArrayList<>();
    private final int[] present = new int[TARGETS];
    private final Map<Long, Client> clients = new HashMap<>();
    private final SplittableRandom random;
    private final SplittableRandom slowness;
    private final long slowSeed;
    private final double usualPerSecond;
    private final int levels;
    private long nextNumber;

    /** What the tenants asked for and got, for calls that began during the burst. */
    final Map<String, int[]> askedAndServed = new HashMap<>();

    int probes;
    int asked;
    int served;
    int inTime;
    int urgentAsked;
    int urgentInTime;
    int refused;
    int shed;
    int refusedWithRoom;
    final List<Duration> returns = new ArrayList<>();

    private record Event(long atNanos, long number, Runnable action) {}

    /** A request of a caller, and the targets that rejected it. */
    private static final class Client {
        private final int daemon;
        private final Call call;
        private final long startNanos;
        private final boolean returned;
        private final Set<String> failed = new HashSet<>();
        private int sends;
        private boolean waiting;

        private Client(int daemon, Call call, long startNanos, boolean returned) {
            this.daemon = daemon;
            this.call = call;
            this.startNanos = startNanos;
            this.returned = returned;
        }
    }

    /**
     * Creates a replay.
     *
     * @param levels the number of priorities over which tenants are spread
     * @param usualLoad the usual load as a part of the capacity of undisturbed targets
     * @param knownDaemons the number of daemons that each daemon knows of
     */
    OverloadReplay(long seed, int levels, double usualLoad, int knownDaemons) {
        this.random = new SplittableRandom(seed);
        this.slowness = new SplittableRandom(seed + 1);
        this.slowSeed = slowness.nextLong();
        this.levels = levels;
        this.usualPerSecond = TARGETS * SLOTS * 1_000 / WORK_MILLIS * usualLoad;
        ImmutableList.Builder<TargetConfig> configs = ImmutableList.builder();
        ImmutableMap.Builder<String, TargetTraits> traits = ImmutableMap.builder();
        for (int i = 0; i < TARGETS; i++) {
            configs.add(new TargetConfig("" + i, "10.0.0." + i, 80, "z" + i % 2, false));
            traits.put("" + i, new TargetTraits(SLOTS, new Deadline(0), 1));
        }
        ServiceConfig service = ServiceConfig.builder("s")
                .slotsPerTarget(SLOTS)
                .connectionsPerTarget(SLOTS * DAEMONS)
                .requests(ImmutableList.of())
                .targets(configs.build())
                .build();
        for (int i = 0; i < DAEMONS; i++) {
            Dispatcher daemon = Dispatcher.builder()
                    .time(time)
                    .random(random.split())
                    .policy(new TargetPolicy.EarliestAnswer("z" + i % 2))
                    .extraCalls(WindowBudget.of(time, 0.2, 200.0 / DAEMONS, Duration.ofSeconds(10)))
                    .build();
            daemon.setHasTenants(true);
            daemon.setDaemonCount(knownDaemons);
            daemon.configure(service, traits.buildOrThrow());
            daemons.add(daemon);
        }
    }

    List<Dispatcher> daemons() {
        return daemons;
    }

    /** Returns how often the calls of {@code tenant} were served, compared with those of all tenants. */
    double relativeService(String tenant) {
        int[] own = askedAndServed.get(tenant);
        int allAsked = 0;
        int allServed = 0;
        for (int[] each : askedAndServed.values()) {
            allAsked += each[0];
            allServed += each[1];
        }
        return (double) own[1] / own[0] / ((double) allServed / allAsked);
    }

    OverloadReplay run() {
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            scheduleTenant(tenant);
        }
        while (!events.isEmpty()) {
            Event event = events.remove();
            time.advance(Duration.ofNanos(Math.max(0, event.atNanos() - time.nanos())));
            event.action().run();
        }
        return this;
    }

    private void scheduleTenant(int tenant) {
        long now = 0;
        double usual = usualPerSecond / TENANTS;
        while (now < Duration.ofSeconds(SECONDS).toNanos()) {
            double second = now / 1e9;
            boolean burst = second >= BURST_FROM && second < BURST_TO;
            // Half of the load is of the class that bursts.
            double rate = usual * (burst ? (1 + BURST) / 2 : 1) * (burst && tenant == 0 ? FLOOD : 1);
            now += (long) (1e9 / rate * -Math.log(1 - random.nextDouble()));
            boolean lookup = random.nextDouble() < (burst ? BURST / (1 + BURST) : 0.5);
            int daemon = random.nextInt(DAEMONS);
            long at = now;
            at(at, () -> arrive(tenant, lookup, daemon, at, false));
        }
    }

    private void at(long nanos, Runnable action) {
        events.add(new Event(nanos, nextNumber++, action));
    }

    private void after(Duration delay, Runnable action) {
        at(time.nanos() + delay.toNanos(), action);
    }

    private void arrive(int tenant, boolean lookup, int daemon, long startNanos, boolean returned) {
        int priority = tenant * levels / TENANTS;
        long timeoutMillis = lookup ? 1_200 : 2_400;
        RequestConfig request = new RequestConfig(
                lookup ? "lookup" : "history", "*", "/", true, false, timeoutMillis, 1_000 * priority + 1);
        Deadline deadline = new Deadline(startNanos + timeoutMillis * 1_000_000);
        Deadline goal = new Deadline(startNanos + (lookup ? 400 : 800) * 1_000_000L);
        Call call = new Call(nextNumber++, "t" + tenant, request, deadline, goal);
        Client client = new Client(daemon, call, startNanos, returned);
        clients.put(call.id(), client);
        if (!returned) {
            asked++;
            urgentAsked += priority == 0 ? 1 : 0;
            if (inBurst(startNanos)) {
                askedAndServed.computeIfAbsent(call.tenant(), ignored -> new int[2])[0]++;
            }
        }
        probe(client, () -> decide(client, daemons.get(daemon).submit(call)));
    }

    private static boolean inBurst(long nanos) {
        return nanos >= BURST_FROM * 1_000_000_000L && nanos < BURST_TO * 1_000_000_000L;
    }

    private void probe(Client client, Runnable next) {
        Dispatcher daemon = daemons.get(client.daemon);
        ImmutableList<TargetConfig> targets = daemon.targetsToProbe(client.call, client.failed, PROBES_PER_ROUND);
        if (targets.isEmpty()) {
            next.run();
            return;
        }
        probes += targets.size();
        after(LINK, () -> {
            for (TargetConfig target : targets) {
                daemon.recordLoadReport(target.id(), LoadReport.ofInFlight(present[Integer.parseInt(target.id())]));
            }
            after(LINK, next);
        });
    }

    private void decide(Client client, Admission admission) {
        switch (admission) {
            case Admission.Assigned assigned -> send(client, assigned.assignment());
            case Admission.Refused refusal -> refuse(client, refusal.retryAfter());
            case Admission.Waiting ignored -> {
                client.waiting = true;
                pollLater(client);
            }
        }
    }

    private void pollLater(Client client) {
        after(POLL, () -> {
            if (!client.waiting) {
                return;
            }
            Dispatcher daemon = daemons.get(client.daemon);
            if (daemon.withdrawIfLate(client.call).isPresent()) {
                client.waiting = false;
                refuse(client, Optional.empty());
                return;
            }
            Runnable next = () -> {
                apply(daemon.dispatch());
                pollLater(client);
            };
            if (mayProbe(daemon)) {
                probe(client, next);
            } else {
                next.run();
            }
        });
    }

    private static boolean mayProbe(Dispatcher daemon) {
        return daemon.tryBeginProbesOfWaiting();
    }

    private static Optional<Duration> retryAfter(Dispatcher daemon, Call call) {
        return daemon.retryAfter(call);
    }

    private void apply(DispatchResult result) {
        for (Assignment assignment : result.assigned()) {
            Client client = clients.get(assignment.call().id());
            client.waiting = false;
            send(client, assignment);
        }
        for (DispatchResult.Refusal refusal : result.refused()) {
            Client client = clients.get(refusal.call().id());
            client.waiting = false;
            refuse(client, Optional.empty());
        }
    }

    private void refuse(Client client, Optional<Duration> stated) {
        clients.remove(client.call.id());
        refused++;
        Optional<Duration> asked = stated.or(() -> retryAfter(daemons.get(client.daemon), client.call));
        asked.ifPresent(returns::add);
        Duration wait = asked.orElse(USUAL_RETURN);
        boolean mayReturn = !client.returned && client.call.deadline().remainingNanos(time.nanos()) > wait.toNanos();
        if (mayReturn) {
            int tenant = Integer.parseInt(client.call.tenant().substring(1));
            boolean lookup = client.call.request().name().equals("lookup");
            int next = (client.daemon + 1) % DAEMONS;
            after(wait, () -> arrive(tenant, lookup, next, client.startNanos, true));
        }
    }

    private void send(Client client, Assignment assignment) {
        int target = Integer.parseInt(assignment.target().id());
        after(LINK, () -> {
            if (present[target] >= SLOTS) {
                shed++;
                after(LINK, () -> retry(client, assignment));
                return;
            }
            present[target]++;
            after(workTime(target), () -> {
                present[target]--;
                LoadReport report = LoadReport.ofInFlight(present[target]);
                after(LINK, () -> answer(client, assignment, report));
            });
        });
    }

    private Duration workTime(int target) {
        long step = time.nanos() / SLOW_STEP.toNanos();
        boolean slow = new SplittableRandom(slowSeed ^ (step * 1_000 + target)).nextDouble() < SLOW_SHARE;
        double factor = (slow ? SLOW_FACTOR : 1) * (present[target] > NEARLY_FULL * SLOTS ? NEARLY_FULL_FACTOR : 1);
        double millis = WORK_MILLIS * factor * (0.7 + 0.6 * slowness.nextDouble());
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    private void retry(Client client, Assignment assignment) {
        Dispatcher daemon = daemons.get(client.daemon);
        apply(daemon.finish(assignment, new CallResult.Shed(new TargetNotice.None())));
        client.failed.add(assignment.target().id());
        client.sends++;
        if (client.sends >= MAX_SENDS) {
            refuse(client, Optional.empty());
            return;
        }
        probe(client, () -> decide(client, daemon.retry(client.call, client.failed)));
    }

    private void answer(Client client, Assignment assignment, LoadReport report) {
        Dispatcher daemon = daemons.get(client.daemon);
        apply(daemon.finish(assignment, new CallResult.Answered(Optional.of(report), false)));
        clients.remove(client.call.id());
        if (client.call.deadline().remainingNanos(time.nanos()) <= 0) {
            return;
        }
        served++;
        if (inBurst(client.startNanos)) {
            askedAndServed.get(client.call.tenant())[1]++;
        }
        if (client.call.goal().remainingNanos(time.nanos()) >= 0) {
            inTime++;
            urgentInTime += client.call.request().priority() < 1_000 ? 1 : 0;
        }
    }

    @Override
    public String toString() {
        return "asked=" + asked + " served=" + served + " in_time=" + inTime + " urgent=" + urgentInTime + "/"
                + urgentAsked + " refused=" + refused + " shed=" + shed + " probes=" + probes + " returns="
                + returns.size() + " flooding=" + "%.2f".formatted(relativeService(FLOODING)) + " least_urgent="
                + "%.2f".formatted(relativeService(LEAST_URGENT));
    }
}
