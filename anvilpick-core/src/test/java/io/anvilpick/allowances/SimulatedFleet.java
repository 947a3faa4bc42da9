package io.anvilpick.allowances;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.messages.AllowanceRequest;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.tenants.Tenant;
import io.anvilpick.tenants.TenantTable;
import io.anvilpick.time.Deadline;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * Daemons that limit tenants, a store and a network, in virtual time on one thread. Messages and reads take random times, are lost
 * and overtake each other; links are cut in one direction; processes are suspended, killed and restarted.
 */
final class SimulatedFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private static final long LEASE = 5 * SECOND;
    private static final long RENEW_INTERVAL = 1_400 * MILLI;
    private static final long POLL_INTERVAL = 250 * MILLI;
    private static final long CHECK_INTERVAL = 300 * MILLI;
    private static final long READ_CHECK_INTERVAL = 50 * MILLI;

    /** Time of day at the start. */
    private static final long START_MILLIS = 1_700_000_000_000L;

    /** Maximum difference of a clock from the true time. It differs after each restart. */
    private static final long MAX_CLOCK_ERROR_MILLIS = 5_000;

    private static final AllowanceCounts NO_COUNTS = new AllowanceCounts() {
        @Override
        public void granted(String tenant) {}

        @Override
        public void refused(String tenant) {}

        @Override
        public void unanswered(String tenant) {}

        @Override
        public void requested() {}
    };

    final SplittableRandom random;
    final List<SimulatedDaemon> daemons = new ArrayList<>();
    final Map<String, List<Long>> runs = new TreeMap<>();
    final Map<String, Long> demand = new TreeMap<>();
    long now;
    long messages;
    long messagesDropped;
    double lossRate;
    boolean storeAvailable = true;

    /** The settings of all daemons that start state a first start, also if they start later. */
    boolean bootstrap;

    TenantTable tenants;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Registration> registrations = new TreeMap<>();
    private final Set<String> storeCuts = new HashSet<>();
    private final Set<String> peerCuts = new HashSet<>();
    private final Map<String, SimulatedDaemon> byAddress = new HashMap<>();
    private long sequence;
    private ImmutableList<EntryMember> storedMembers = ImmutableList.of();

    private record Registration(EntryMember member, long expires) {}

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    SimulatedFleet(long seed, TenantTable tenants) {
        this.random = new SplittableRandom(seed);
        this.tenants = tenants;
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(now, time), sequence++, action));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }

    /** Adds a daemon that is not registered yet. */
    SimulatedDaemon add(String name, String zone) {
        SimulatedDaemon daemon = new SimulatedDaemon(name, zone);
        daemons.add(daemon);
        byAddress.put(daemon.member.peerAddress(), daemon);
        daemon.start();
        return daemon;
    }

    /** Adds daemons that were registered just before, as after a restart. */
    void addRegistered(int count, int zones) {
        addRegistered(count, zones, 0);
    }

    /** Adds daemons that registered {@code ageMillis} ago, as after a restart. */
    void addRegistered(int count, int zones, long ageMillis) {
        for (int i = 0; i < count; i++) {
            EntryMember member = memberOf("d" + i, "z" + i % zones).registeredAt(START_MILLIS - ageMillis);
            registrations.put(member.name(), new Registration(member, now + LEASE));
        }
        updateStoredMembers();
        for (int i = 0; i < count; i++) {
            add("d" + i, "z" + i % zones);
        }
    }

    /** Cuts the daemons of {@code zone} off from the store. */
    void cutStore(String zone, long duration) {
        storeCuts.add(zone);
        at(now + duration, () -> storeCuts.remove(zone));
    }

    /** Drops the messages from {@code zone} to {@code other}. Replies in the other direction arrive. */
    void cutPeers(String zone, String other, long duration) {
        String cut = zone + ">" + other;
        peerCuts.add(cut);
        at(now + duration, () -> peerCuts.remove(cut));
    }

    private static EntryMember memberOf(String name, String zone) {
        return new EntryMember(name, name + ":1", name + ":2", "r", zone);
    }

    private void updateStoredMembers() {
        registrations.values().removeIf(each -> each.expires() <= now);
        ImmutableList<EntryMember> members =
                registrations.values().stream().map(Registration::member).collect(ImmutableList.toImmutableList());
        if (!members.equals(storedMembers)) {
            storedMembers = members;
        }
    }

    private long delay() {
        double kind = random.nextDouble();
        if (kind < 0.01) {
            return (long) (random.nextDouble() * 400 * MILLI);
        }
        return (long) ((0.2 + random.nextDouble() * 3) * MILLI);
    }

    /** Loses the message with some probability, or delivers it to {@code receiver} after a random time. */
    private void transmit(SimulatedDaemon sender, SimulatedDaemon receiver, Runnable delivery) {
        if (random.nextDouble() < lossRate || peerCuts.contains(sender.zone + ">" + receiver.zone)) {
            messagesDropped++;
            return;
        }
        receiver.at(now + delay(), delivery);
    }

    /** One daemon, through all its restarts. */
    final class SimulatedDaemon {
        final String name;
        final String zone;
        final EntryMember member;
        boolean alive;
        private int life;
        private long suspendedUntil;
        private long clockOffset;
        private FleetView view = FleetView.empty();
        private TenantTable activeTenants = TenantTable.none();
        private boolean read;
        private boolean relayAnswered;
        private boolean registeredInThisLife;
        private long registeredMillis;
        private long readAt;
        private long provenAt;
        private @Nullable GrantorMembers members;
        private @Nullable AllowanceGrantor grantor;
        private @Nullable PeerAllowanceLimiter limiter;

        private SimulatedDaemon(String name, String zone) {
            this.name = name;
            this.zone = zone;
            this.member = memberOf(name, zone);
        }

        /** Runs {@code action} in this process: after it has resumed if it is suspended, never if it has been killed. */
        void at(long time, Runnable action) {
            int scheduledLife = life;
            SimulatedFleet.this.at(time, () -> runIn(scheduledLife, action));
        }

        private void runIn(int scheduledLife, Runnable action) {
            if (life != scheduledLife || !alive) {
                return;
            }
            if (now < suspendedUntil) {
                // What piled up while the process was suspended runs in any order.
                SimulatedFleet.this.at(suspendedUntil + random.nextLong(MILLI), () -> runIn(scheduledLife, action));
                return;
            }
            action.run();
        }

        void start() {
            life++;
            alive = true;
            suspendedUntil = 0;
            clockOffset = random.nextLong(1_000 * SECOND);
            view = FleetView.empty();
            activeTenants = TenantTable.none();
            read = false;
            relayAnswered = true;
            registeredInThisLife = false;
            long clockError = random.nextLong(-MAX_CLOCK_ERROR_MILLIS, MAX_CLOCK_ERROR_MILLIS + 1);
            provenAt = now;
            TimeSource time = new TimeSource() {
                @Override
                public long nanos() {
                    return now + clockOffset;
                }

                @Override
                public long epochMillis() {
                    return START_MILLIS + now / MILLI + clockError;
                }
            };
            GrantorMembers newMembers =
                    new GrantorMembers(time, name, () -> Duration.ofNanos(now - provenAt), ImmutableSet::of, bootstrap);
            AllowanceGrantor newGrantor = new AllowanceGrantor(time, name, newMembers, () -> activeTenants);
            members = newMembers;
            grantor = newGrantor;
            limiter = new PeerAllowanceLimiter(new PeerAllowanceLimiter.Parts(
                    time, name, newMembers, newGrantor, this::send, AllowanceBounds.DEFAULT, NO_COUNTS, random::split));
            at(now, this::poll);
            at(now + random.nextLong(100 * MILLI), () -> renew(time));
            at(now + CHECK_INTERVAL, this::check);
        }

        void kill() {
            alive = false;
            life++;
        }

        void suspend(long duration) {
            suspendedUntil = Math.max(suspendedUntil, now + duration);
        }

        /** Sends a request of {@code tenant} to this daemon. */
        void request(String tenant) {
            demand.merge(tenant, 1L, Long::sum);
            at(now, () -> {
                Optional<Tenant> found = activeTenants.named(tenant);
                if (found.isEmpty()) {
                    return;
                }
                requireNonNull(limiter).decide(found.get()).thenAccept(decision -> {
                    if (decision instanceof AllowanceDecision.Within) {
                        runs.computeIfAbsent(tenant, key -> new ArrayList<>()).add(now);
                    }
                });
            });
        }

        private void check() {
            requireNonNull(members).check();
            at(now + CHECK_INTERVAL, this::check);
        }

        /** Renews the registration. Writes it anew, with another time, if the lease has lapsed. */
        private void renew(TimeSource time) {
            if (!read) {
                at(now + READ_CHECK_INTERVAL, () -> renew(time));
                return;
            }
            if (storeAvailable && !storeCuts.contains(zone)) {
                updateStoredMembers();
                if (!registeredInThisLife) {
                    registeredMillis = foundRegisteredMillis().orElseGet(time::epochMillis);
                } else if (!registrations.containsKey(name)) {
                    registeredMillis = time.epochMillis();
                }
                registeredInThisLife = true;
                registrations.put(name, new Registration(member.registeredAt(registeredMillis), now + LEASE));
                updateStoredMembers();
            }
            at(now + RENEW_INTERVAL, () -> renew(time));
        }

        private Optional<Long> foundRegisteredMillis() {
            return view.members().stream()
                    .filter(member::isSameDaemon)
                    .findFirst()
                    .map(EntryMember::registeredMillis);
        }

        /** Reads the store, or the daemon whose name sorts first in this zone if it answered last time. */
        private void poll() {
            long started = now;
            Optional<SimulatedDaemon> relay = view.members().stream()
                    .filter(each -> each.zone().equals(zone) && each.name().compareTo(name) < 0)
                    .map(each -> byAddress.get(each.peerAddress()))
                    .findFirst();
            boolean viaRelay = read && relayAnswered && relay.isPresent() && random.nextDouble() < 0.9;
            if (viaRelay) {
                pollRelay(relay.get(), started);
            } else {
                pollStore(started);
            }
            at(now + POLL_INTERVAL + random.nextLong(100 * MILLI), this::poll);
        }

        private void pollStore(long started) {
            SimulatedFleet.this.at(now + delay(), () -> {
                if (!storeAvailable || storeCuts.contains(zone)) {
                    return;
                }
                updateStoredMembers();
                FleetView answer = new FleetView(Optional.empty(), ImmutableMap.of(), storedMembers);
                TenantTable stored = tenants;
                at(now + delay(), () -> {
                    relayAnswered = true;
                    apply(answer, stored, started, 0);
                });
            });
        }

        private void pollRelay(SimulatedDaemon relay, long started) {
            int relayLife = relay.life;
            relayAnswered = false;
            transmit(this, relay, () -> {
                if (!relay.read || relay.life != relayLife || now - relay.readAt > 1_280 * MILLI) {
                    return;
                }
                FleetView answer = relay.view;
                TenantTable stored = relay.activeTenants;
                long age = now - relay.readAt;
                transmit(relay, this, () -> {
                    relayAnswered = true;
                    apply(answer, stored, started, age);
                });
            });
        }

        private void apply(FleetView answer, TenantTable stored, long started, long age) {
            if (started - age < provenAt && read) {
                return;
            }
            activeTenants = stored;
            if (!read || !answer.equals(view)) {
                view = answer;
                requireNonNull(members).observe(answer);
            }
            read = true;
            readAt = now - age;
            provenAt = Math.max(provenAt, started - age);
        }

        private CompletableFuture<PeerReply> send(String address, PeerRequest request, Deadline deadline) {
            CompletableFuture<PeerReply> reply = new CompletableFuture<>();
            messages++;
            SimulatedDaemon receiver = byAddress.get(address);
            at(deadline.atNanos() - clockOffset, () -> reply.completeExceptionally(new TimeoutException()));
            if (!receiver.alive) {
                at(now + delay(), () -> reply.completeExceptionally(new PeerException("refused", true)));
                return reply;
            }
            transmit(this, receiver, () -> {
                PeerReply answer = requireNonNull(receiver.grantor).grant((AllowanceRequest) request);
                transmit(receiver, this, () -> reply.complete(answer));
            });
            return reply;
        }
    }
}
