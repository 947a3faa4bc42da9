package io.anvilpick.allowances;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Which daemons may grant tokens, as this daemon sees it. Thread safe; guarded by one lock. Made for 300 daemons.
 *
 * <p>The sum of all grants keeps its bound if every daemon that may grant is a candidate at all others that may grant. Views of the
 * store differ between daemons. A daemon therefore counts others longer than they may grant, and grants only when the others count it.
 */
public final class GrantorMembers {
    /** Maximum age of the view by which a daemon grants. */
    static final Duration MAX_VIEW_AGE = Duration.ofSeconds(15);

    /** Time for which a daemon that disappeared is counted. It may grant for {@link #MAX_VIEW_AGE} of it. */
    static final Duration GONE_COUNTED = Duration.ofSeconds(20);

    /** Time from a first registration until the daemon grants. Views without it have expired by then. */
    static final Duration SETTLE_TIME = Duration.ofSeconds(20);

    /**
     * The part of its rate that a restarted daemon grants until {@link #SETTLE_TIME} has passed, if it was registered less than
     * {@link #COUNTED_AGE} ago. The others may not count it yet.
     */
    private static final double EARLY_RATE_FACTOR = 0.5;

    /**
     * Age of the registration of a restarted daemon from which all others count it: {@link #SETTLE_TIME}, and 10 s for a clock that
     * was set forward in between.
     */
    private static final Duration COUNTED_AGE = SETTLE_TIME.plusSeconds(10);

    /** Time after the first view within which founders register. */
    private static final Duration FOUNDING_TIME = Duration.ofSeconds(5);

    /** Time after its registration at which a founder's view contains all daemons that started when it was not registered yet. */
    static final Duration FOUNDERS_KNOWN_TIME = FOUNDING_TIME.plusSeconds(1);

    /**
     * Time after its first view for which a daemon of a first start takes into account that founders may still register. They do
     * so until 45 s after the first registration: {@link #COUNTED_AGE}, 10 s by which clocks may differ, and {@link #FOUNDING_TIME}.
     * A view of the age of {@link #MAX_VIEW_AGE} contains them after 60 s.
     */
    static final Duration FIRST_START_TIME = Duration.ofSeconds(60);

    /**
     * Maximum age of the view by which a daemon grants within {@link #FIRST_START_TIME}. It is less than {@link #FOUNDERS_KNOWN_TIME},
     * so that a founder that starts later is in that view when it begins to grant.
     */
    static final Duration FIRST_START_VIEW_AGE = Duration.ofSeconds(5);

    /**
     * Time within which the first read of a daemon succeeds that may conclude from it that there are no other daemons. After an outage
     * of the store, registrations have lapsed although the daemons are alive.
     */
    private static final Duration MAX_FIRST_READ_TIME = Duration.ofSeconds(2);

    /**
     * Time between two reads after which a daemon is no founder any more. In a longer outage of the store the registrations of the
     * others lapse, and a view from after it may lack them. Leases last 5 s and are renewed every 1.4 s.
     */
    private static final Duration MAX_FOUNDING_GAP = Duration.ofSeconds(3);

    /** Time without a read that shows its registration after which the others may have ceased to count a daemon. */
    private static final Duration MAX_UNPROVEN = Duration.ofSeconds(19);

    /**
     * Time until the report of a daemon that does not grant yet takes effect. Each change of the selection ranks all daemons for each
     * active tenant, and in a fleet that grows many reports arrive at once.
     */
    private static final Duration REPORT_DELAY = Duration.ofMillis(50);

    /** Time for which the names of daemons that disappeared are remembered. */
    private static final Duration NAME_MEMORY = Duration.ofMinutes(10);

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final String self;
    private final Supplier<Duration> viewAge;
    private final Supplier<ImmutableSet<String>> lapsed;
    private final Map<String, Known> known = new TreeMap<>();

    private final boolean bootstrap;
    private final long createdNanos;
    private boolean viewSeen;
    private boolean mayFound;
    private long firstViewNanos;
    private boolean selfInView;
    private boolean everRegistered;
    private boolean restarted;
    private boolean restartedEarly;
    private boolean awaitsFounders;
    private long foundersKnownNanos;
    private boolean registered;
    private long provenNanos;
    private long grantFromNanos;
    private long nextChangeNanos;
    private GrantorSelection grantorSelection;
    private GrantorSelection holderSelection;

    /** A daemon in the view, or one that was. */
    private static final class Known {
        private EntryMember member;
        private boolean gone;
        private long goneNanos;
        private boolean settling;
        private long settledNanos;
        private boolean reportedUnsettled;
        private long reportedSettledNanos;

        private Known(EntryMember member) {
            this.member = member;
        }
    }

    /**
     * Creates an instance that has seen no view.
     *
     * @param self name of this daemon
     * @param viewAge the proven age of the newest view. While a view is observed, it is still that of the read before.
     * @param lapsed the names of daemons in the view whose registrations have lapsed
     * @param bootstrap whether the whole system starts for the first time
     */
    public GrantorMembers(
            TimeSource time,
            String self,
            Supplier<Duration> viewAge,
            Supplier<ImmutableSet<String>> lapsed,
            boolean bootstrap) {
        this.time = time;
        this.self = self;
        this.bootstrap = bootstrap;
        this.viewAge = viewAge;
        this.lapsed = lapsed;
        this.createdNanos = time.nanos();
        this.provenNanos = createdNanos;
        this.grantorSelection = new GrantorSelection(0, createdNanos, ImmutableList.of(), 0);
        this.holderSelection = grantorSelection;
    }

    /** Records a new view. Views are observed in their order. */
    public void observe(FleetView view) {
        long now = time.nanos();
        Duration previousAge = viewAge.get();
        long previousReadNanos = now - previousAge.toNanos();
        lock.lock();
        try {
            if (!viewSeen) {
                viewSeen = true;
                firstViewNanos = now;
                onFirstView(view);
            }
            Set<String> present = new HashSet<>();
            for (EntryMember member : view.members()) {
                present.add(member.name());
                observe(member, previousReadNanos);
            }
            known.values().stream()
                    .filter(each -> !each.gone && !present.contains(each.member.name()))
                    .forEach(each -> {
                        each.gone = true;
                        each.goneNanos = now;
                    });
            selfInView = present.contains(self);
            checkSelf(now, previousAge);
            select(now);
        } finally {
            lock.unlock();
        }
    }

    /** Checks whether this daemon is still registered. Called at least once a second while the process runs. */
    public void check() {
        long now = time.nanos();
        Duration age = viewAge.get();
        lock.lock();
        try {
            checkSelf(now, age);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the time until this daemon may grant tokens; zero if it may now, or if it is not registered. */
    Duration settlesAfter() {
        lock.lock();
        try {
            long remaining = registered ? grantFromNanos - time.nanos() : 0;
            return Duration.ofNanos(Math.max(0, remaining));
        } finally {
            lock.unlock();
        }
    }

    /** Returns the time since which this daemon may grant tokens, if {@link #mayGrant}. */
    long grantFromNanos() {
        lock.lock();
        try {
            return grantFromNanos;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the part of its rate at which this daemon grants. */
    double rateFactor() {
        long now = time.nanos();
        lock.lock();
        try {
            boolean early = restartedEarly && now - firstViewNanos < SETTLE_TIME.toNanos();
            return early ? EARLY_RATE_FACTOR : 1;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether this daemon may grant tokens of the tenants whose grantor it is. */
    boolean mayGrant() {
        long now = time.nanos();
        Duration age = viewAge.get();
        lock.lock();
        try {
            checkSelf(now, age);
            return registered && !awaitsFounders && now - grantFromNanos >= 0 && age.compareTo(maxViewAge(now)) <= 0;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the candidates by which this daemon grants. They include all daemons that may grant. */
    GrantorSelection forGrantor() {
        lock.lock();
        try {
            selectIfDue();
            return grantorSelection;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the candidates among which this daemon requests tokens, without those that reported that they do not grant yet. */
    GrantorSelection forHolder() {
        lock.lock();
        try {
            selectIfDue();
            return holderSelection;
        } finally {
            lock.unlock();
        }
    }

    /** Records that daemon {@code name} reported to grant no tokens for {@code settlesAfter} more. */
    void reportUnsettled(String name, Duration settlesAfter) {
        long now = time.nanos();
        Duration bounded = settlesAfter.compareTo(SETTLE_TIME) > 0 ? SETTLE_TIME : settlesAfter;
        lock.lock();
        try {
            Known daemon = known.get(name);
            if (daemon == null) {
                return;
            }
            daemon.reportedUnsettled = true;
            daemon.reportedSettledNanos = now + bounded.toNanos();
            if (now + REPORT_DELAY.toNanos() - nextChangeNanos < 0) {
                nextChangeNanos = now + REPORT_DELAY.toNanos();
            }
        } finally {
            lock.unlock();
        }
    }

    private void onFirstView(FleetView view) {
        boolean readAtOnce = firstViewNanos - createdNanos <= MAX_FIRST_READ_TIME.toNanos();
        boolean foundNoDaemon = readAtOnce && view.members().isEmpty();
        boolean firstStart = bootstrap && view.members().stream().noneMatch(this::isLongRegistered);
        mayFound = foundNoDaemon || firstStart;
        Optional<EntryMember> own =
                view.members().stream().filter(each -> each.name().equals(self)).findFirst();
        restarted = own.isPresent();
        restartedEarly = own.isPresent() && !isLongRegistered(own.get());
    }

    /** Returns whether all daemons count {@code member}, by the time of day of its registration. */
    private boolean isLongRegistered(EntryMember member) {
        return member.registeredMillis() > 0
                && time.epochMillis() - member.registeredMillis() >= COUNTED_AGE.toMillis();
    }

    private boolean isFirstStart(long now) {
        return bootstrap && now - firstViewNanos <= FIRST_START_TIME.toNanos();
    }

    private Duration maxViewAge(long now) {
        return isFirstStart(now) ? FIRST_START_VIEW_AGE : MAX_VIEW_AGE;
    }

    /** Returns whether a daemon may be a founder that was not in the view that was read at {@code previousReadNanos}. */
    private boolean mayBeFounder(long previousReadNanos) {
        Duration limit = bootstrap ? FIRST_START_TIME : FOUNDERS_KNOWN_TIME;
        return previousReadNanos - firstViewNanos <= limit.toNanos();
    }

    private void observe(EntryMember member, long previousReadNanos) {
        Known daemon = known.get(member.name());
        if (daemon == null) {
            daemon = new Known(member);
            known.put(member.name(), daemon);
            // Founders grant before the others would count them.
            daemon.settling = !mayBeFounder(previousReadNanos);
            daemon.settledNanos = previousReadNanos + SETTLE_TIME.toNanos();
        }
        daemon.member = member;
        daemon.gone = false;
    }

    private void checkSelf(long now, Duration age) {
        if (!viewSeen) {
            return;
        }
        if (!selfInView || lapsed.get().contains(self)) {
            registered = false;
            return;
        }
        long proven = now - age.toNanos();
        if (!everRegistered) {
            everRegistered = true;
            awaitsFounders = !restarted && isFounder(now);
            foundersKnownNanos = now + FOUNDERS_KNOWN_TIME.toNanos();
            grantFromNanos = now + firstSettleTime().toNanos();
        } else if (proven - provenNanos > MAX_UNPROVEN.toNanos()) {
            awaitsFounders = false;
            grantFromNanos = now + SETTLE_TIME.toNanos();
        } else if (awaitsFounders && proven - provenNanos > MAX_FOUNDING_GAP.toNanos()) {
            awaitsFounders = false;
            grantFromNanos = now + SETTLE_TIME.toNanos();
        } else if (awaitsFounders && proven - foundersKnownNanos >= 0) {
            awaitsFounders = false;
            grantFromNanos = now;
        }
        if (proven - provenNanos > 0) {
            provenNanos = proven;
        }
        registered = true;
    }

    /** Returns whether this daemon is a founder, if its registration is first seen at {@code now}. */
    private boolean isFounder(long now) {
        return mayFound
                && now - firstViewNanos <= FOUNDING_TIME.toNanos()
                && (bootstrap || now - createdNanos <= FOUNDERS_KNOWN_TIME.toNanos());
    }

    private Duration firstSettleTime() {
        if (restarted) {
            return Duration.ZERO;
        }
        return awaitsFounders ? FOUNDERS_KNOWN_TIME : SETTLE_TIME;
    }

    private void selectIfDue() {
        long now = time.nanos();
        if (now - nextChangeNanos >= 0) {
            select(now);
        }
    }

    private void select(long now) {
        known.values().removeIf(each -> each.gone && now - each.goneNanos > NAME_MEMORY.toNanos());
        nextChangeNanos = now + NAME_MEMORY.toNanos();
        grantorSelection = select(grantorSelection, now, each -> isCounted(each, now) && !isSettling(each, now));
        holderSelection = select(
                holderSelection,
                now,
                each -> isCounted(each, now) && !isSettling(each, now) && !isReportedUnsettled(each, now));
    }

    private GrantorSelection select(GrantorSelection before, long now, Predicate<Known> filter) {
        List<EntryMember> candidates = new ArrayList<>();
        for (Known daemon : known.values()) {
            if (filter.test(daemon)) {
                candidates.add(daemon.member);
            }
        }
        int daemons = (int)
                known.values().stream().filter(each -> isCounted(each, now)).count();
        if (candidates.equals(before.candidates())) {
            return new GrantorSelection(before.version(), before.sinceNanos(), before.candidates(), daemons);
        }
        return new GrantorSelection(before.version() + 1, now, ImmutableList.copyOf(candidates), daemons);
    }

    private boolean isCounted(Known daemon, long now) {
        return !daemon.gone || isBefore(now, daemon.goneNanos + GONE_COUNTED.toNanos());
    }

    private boolean isSettling(Known daemon, long now) {
        daemon.settling = daemon.settling && isBefore(now, daemon.settledNanos);
        // A daemon that grants is a candidate of its own. It knows that it has settled better than the others do.
        boolean isSettledSelf = daemon.member.name().equals(self) && registered && now - grantFromNanos >= 0;
        return daemon.settling && !isSettledSelf;
    }

    private boolean isReportedUnsettled(Known daemon, long now) {
        daemon.reportedUnsettled = daemon.reportedUnsettled && isBefore(now, daemon.reportedSettledNanos);
        return daemon.reportedUnsettled;
    }

    /** Returns whether {@code now} is before {@code at}, which is then a time at which the selection changes. */
    private boolean isBefore(long now, long at) {
        if (now - at >= 0) {
            return false;
        }
        if (at - nextChangeNanos < 0) {
            nextChangeNanos = at;
        }
        return true;
    }
}
