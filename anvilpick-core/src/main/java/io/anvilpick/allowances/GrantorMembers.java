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

    /** Time from the registration until a daemon grants that found no other daemon, and may thus be the first. */
    static final Duration SHORT_SETTLE_TIME = Duration.ofSeconds(3);

    /**
     * The part of its rate that a daemon grants which did not wait for {@link #SETTLE_TIME}, until that has passed. After a restart
     * its registration may be so recent that the others do not count it yet. A daemon that found no other may have read the store when
     * the registrations of others had lapsed.
     */
    private static final double EARLY_RATE_FACTOR = 0.5;

    /** Time after the first read within which daemons register that found no other daemon. */
    private static final Duration FOUNDING_TIME = Duration.ofSeconds(5);

    /**
     * Time within which the first read of a daemon succeeds that may conclude from it that there are no other daemons. After an outage
     * of the store, registrations have lapsed although the daemons are alive.
     */
    private static final Duration MAX_FIRST_READ_TIME = Duration.ofSeconds(2);

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

    private final long createdNanos;
    private boolean viewSeen;
    private boolean foundNoDaemon;
    private long firstViewNanos;
    private boolean selfInView;
    private boolean everRegistered;
    private boolean restarted;
    private long settledNanos;
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
     */
    public GrantorMembers(
            TimeSource time, String self, Supplier<Duration> viewAge, Supplier<ImmutableSet<String>> lapsed) {
        this.time = time;
        this.self = self;
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
                boolean readAtOnce = now - createdNanos <= MAX_FIRST_READ_TIME.toNanos();
                foundNoDaemon = readAtOnce && view.members().isEmpty();
                restarted = view.members().stream().anyMatch(each -> each.name().equals(self));
            }
            Set<String> present = new HashSet<>();
            for (EntryMember member : view.members()) {
                present.add(member.name());
                observe(member, previousReadNanos, now);
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
            return everRegistered && now - settledNanos < 0 ? EARLY_RATE_FACTOR : 1;
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
            return registered && now - grantFromNanos >= 0 && age.compareTo(MAX_VIEW_AGE) <= 0;
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

    private void observe(EntryMember member, long previousReadNanos, long now) {
        Known daemon = known.get(member.name());
        if (daemon == null) {
            daemon = new Known(member);
            known.put(member.name(), daemon);
            // Daemons that found no other daemon grant early. They register within the founding time.
            daemon.settling = now - firstViewNanos > FOUNDING_TIME.toNanos();
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
            settledNanos = now + SETTLE_TIME.toNanos();
            grantFromNanos = now + firstSettleTime(now).toNanos();
        } else if (proven - provenNanos > MAX_UNPROVEN.toNanos()) {
            grantFromNanos = now + SETTLE_TIME.toNanos();
        }
        if (proven - provenNanos > 0) {
            provenNanos = proven;
        }
        registered = true;
    }

    private Duration firstSettleTime(long now) {
        if (restarted) {
            return Duration.ZERO;
        }
        boolean founding = foundNoDaemon && now - firstViewNanos <= FOUNDING_TIME.toNanos();
        return founding ? SHORT_SETTLE_TIME : SETTLE_TIME;
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
