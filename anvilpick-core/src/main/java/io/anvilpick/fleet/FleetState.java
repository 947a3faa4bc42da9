package io.anvilpick.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.crashes.CrashReport;
import io.anvilpick.crashes.CrashReportBatch;
import io.anvilpick.crashes.CrashReportLedger;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * The state of the fleet as this daemon holds it. Thread safe: writers share one lock, and views are read without locking.
 *
 * <p>While the store is unavailable, registrations may lapse although their owners are alive, and many of them then disappear at
 * once. If more than half of a service's targets, or of a region's daemons, disappear while the store is unavailable, or within
 * {@link #REREGISTRATION_GRACE} after it is available again following an outage of {@link #MIN_OUTAGE}, they are kept. They are
 * removed if they have not registered again when that time has passed.
 *
 * <p>When the store returns from an older copy, with a later era, all registrations that the copy lacks are kept for
 * {@link #REREGISTRATION_GRACE}, and entries that are known to be outdated take effect only after that.
 *
 * <p>A configuration is never replaced by an older one.
 */
public final class FleetState {
    /** Time within which live owners register again once the store is available again. */
    public static final Duration REREGISTRATION_GRACE = Duration.ofMillis(2_100);

    /**
     * Time without an answer of the store after which registrations may have lapsed although their owners are alive. It is longer
     * than one lost renewal of a lease takes, until the next one is answered.
     */
    static final Duration MIN_OUTAGE = Duration.ofMillis(3_200);

    /** The era before the first read. */
    private static final long NO_ERA = -1;

    private static final Logger LOG = Logger.getLogger(FleetState.class);

    private final ReentrantLock lock = new ReentrantLock();
    private final TimeSource time;
    private final Consumer<FleetView> listener;
    private final CrashReportLedger crashReports;
    private final KeptAcrossEras eras;
    private final Registrations<RegisteredTarget> targets;
    private final Registrations<EntryMember> members;
    private final ZoneEvacuations evacuations = new ZoneEvacuations();
    private final UnreadableItems unreadable = new UnreadableItems();
    private @Nullable RouteConfiguration configuration;
    private volatile boolean storeUnavailable;
    private long graceEndNanos;
    private long lastAnswerNanos;
    private volatile long era = NO_ERA;
    private volatile FleetView view = FleetView.empty();

    private volatile boolean read;
    private volatile ImmutableSet<String> lapsedMembers = ImmutableSet.of();

    /** The last view that the listener has taken. It is another object than {@link #view} until the listener has taken that. */
    private FleetView deliveredView = view;

    /** Whether the content may have changed since the view was made. */
    private boolean changed;

    /**
     * Creates an empty state.
     *
     * @param listener receives each new view in order; it is called under the lock and must not block. A view counts as delivered
     *     once the listener has returned. If it throws, the next change, read or call of {@link #expire} delivers the view again.
     */
    public FleetState(TimeSource time, Consumer<FleetView> listener) {
        this(time, listener, CrashReportLedger.unwritten(time));
    }

    /**
     * Creates an empty state.
     *
     * @param listener see {@link #FleetState(TimeSource, Consumer)}
     * @param crashReports receives the crash reports in the store; it is called under the lock
     */
    public FleetState(TimeSource time, Consumer<FleetView> listener, CrashReportLedger crashReports) {
        this.time = time;
        this.crashReports = crashReports;
        this.listener = listener;
        this.eras = new KeptAcrossEras(time);
        this.targets = new Registrations<>("target", RegisteredTarget::service, eras::recordRemoval);
        this.members = new Registrations<>("member", EntryMember::region, ignored -> {});
        this.graceEndNanos = time.nanos();
        this.lastAnswerNanos = graceEndNanos;
    }

    /** Returns whether the whole content of the store has been read once. */
    public boolean isRead() {
        return read;
    }

    /** Returns the current view. */
    public FleetView view() {
        return view;
    }

    /**
     * Returns the names of the daemons in the view whose registrations have lapsed. They stay in the view because they may register
     * again; other daemons may have removed them.
     */
    public ImmutableSet<String> lapsedMembers() {
        return lapsedMembers;
    }

    /** Returns how often an unreadable item was read. */
    public UnreadableCounts unreadableCounts() {
        return unreadable.counts();
    }

    /**
     * Returns the configuration in the store, if it is unreadable and not known to be older than the one in force. The one in
     * force then stays so.
     */
    public Optional<FleetChange.Subject.Configuration> unreadableConfiguration() {
        return unreadable.newerConfiguration();
    }

    /** Records that the store did not answer, for {@code reason}. */
    public void onStoreUnavailable(String reason) {
        lock.lock();
        try {
            if (!storeUnavailable) {
                LOG.warnf("event=store_lost reason=\"%s\"", reason);
            }
            storeUnavailable = true;
        } finally {
            lock.unlock();
        }
    }

    /** Returns whether the store answered the last call of this daemon. */
    public boolean isStoreAvailable() {
        return !storeUnavailable;
    }

    /** Records that the store answered. Starts {@link #REREGISTRATION_GRACE} if it had not answered for {@link #MIN_OUTAGE}. */
    public void onStoreAnswered() {
        lock.lock();
        try {
            long now = time.nanos();
            if (storeUnavailable) {
                storeUnavailable = false;
                boolean mayHaveLapsed = now - lastAnswerNanos >= MIN_OUTAGE.toNanos();
                graceEndNanos = mayHaveLapsed ? now + REREGISTRATION_GRACE.toNanos() : graceEndNanos;
                LOG.infof(
                        "event=store_regained lapsed_kept_ms=%d", mayHaveLapsed ? REREGISTRATION_GRACE.toMillis() : 0);
            }
            lastAnswerNanos = now;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records the era of the store that is read next. Starts {@link #REREGISTRATION_GRACE} if it is later than the one read before: what
     * the store acknowledged since its copy is lost.
     */
    public void onEra(long nextEra) {
        lock.lock();
        try {
            if (nextEra <= era) {
                return;
            }
            if (era != NO_ERA) {
                LOG.warnf(
                        "event=store_era_changed era=%d before=%d kept_ms=%d",
                        nextEra, era, REREGISTRATION_GRACE.toMillis());
                eras.begin(targets.all());
                targets.keepMissing();
                members.keepMissing();
                evacuations.keepMissing();
                graceEndNanos = time.nanos() + REREGISTRATION_GRACE.toNanos();
            }
            era = nextEra;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the latest era of the store that was read; negative before the first read. */
    public long era() {
        return era;
    }

    /** Applies changes in the order of the store. */
    public void apply(Iterable<FleetChange> changes) {
        lock.lock();
        try {
            changed = true;
            changes.forEach(this::apply);
            dropLapsed();
            publish();
        } finally {
            lock.unlock();
        }
    }

    /** Applies all entries of the store. Registrations and evacuations that are not among them count as removed. */
    public void replaceAll(Iterable<FleetChange> entries) {
        lock.lock();
        try {
            changed = true;
            EntryIds present = new EntryIds();
            for (FleetChange entry : entries) {
                apply(entry);
                present.add(entry);
            }
            targets.retainAll(present.targets());
            members.retainAll(present.members());
            evacuations.retainAll(present.evacuatedZones());
            crashReports.retainBatches(present.crashReportBatches());
            dropLapsed();
            if (!read) {
                // The listener gets the first view that was read also if the store is empty.
                view = FleetView.empty();
            }
            publish();
            read = true;
        } finally {
            lock.unlock();
        }
    }

    /** Removes lapsed registrations whose owners have not registered again in time, and delivers a view that is not delivered yet. */
    public void expire() {
        lock.lock();
        try {
            if (targets.hasLapsed() || members.hasLapsed() || eras.isActive()) {
                changed = true;
                dropLapsed();
            }
            if (changed || view != deliveredView) {
                publish();
            }
        } finally {
            lock.unlock();
        }
    }

    private void apply(FleetChange change) {
        switch (change) {
            case FleetChange.ConfigurationWritten written -> replaceConfiguration(written.configuration());
            case FleetChange.TargetRegistered(RegisteredTarget target) -> {
                if (!eras.holdsBack(target)) {
                    targets.put(target.id(), target);
                }
                unreadable.remove(new FleetChange.Subject.Target(target.id()));
            }
            case FleetChange.TargetRemoved removed -> {
                eras.forget(removed.id());
                targets.remove(removed.id());
            }
            case FleetChange.MemberRegistered(EntryMember member) -> {
                members.put(member.name(), member);
                unreadable.remove(new FleetChange.Subject.Member(member.name()));
            }
            case FleetChange.MemberRemoved removed -> members.remove(removed.name());
            case FleetChange.ZoneEvacuated evacuated -> evacuations.add(evacuated.zone());
            case FleetChange.ZoneReturned returned -> evacuations.remove(returned.zone());
            case FleetChange.CrashReportsWritten(String id, ImmutableList<CrashReport> reports) -> {
                crashReports.recordBatch(new CrashReportBatch(id, reports));
                unreadable.remove(new FleetChange.Subject.CrashReports(id));
            }
            case FleetChange.CrashReportsRemoved removed -> crashReports.recordRemoval(removed.id());
            case FleetChange.Unreadable item ->
                unreadable.add(item, configuration == null ? 0 : configuration.version());
        }
    }

    private void replaceConfiguration(RouteConfiguration next) {
        long currentVersion = configuration == null ? 0 : configuration.version();
        if (next.version() >= currentVersion) {
            unreadable.removeConfiguration(next.version());
        }
        if (configuration != null && next.version() <= currentVersion) {
            if (next.version() < currentVersion) {
                LOG.warnf(
                        "event=configuration_refused version=%d in_force=%d reason=\"older than the configuration in force\"",
                        next.version(), currentVersion);
            }
            return;
        }
        configuration = next;
        LOG.infof(
                "event=configuration_in_force version=%d before=%d routes=%d services=%d",
                next.version(),
                currentVersion,
                next.routes().size(),
                next.services().size());
    }

    private void dropLapsed() {
        boolean inGracePeriod = storeUnavailable || time.nanos() - graceEndNanos < 0;
        if (!inGracePeriod && eras.isActive()) {
            eras.end().forEach(target -> targets.put(target.id(), target));
            evacuations.dropMissing();
        }
        targets.dropLapsed(inGracePeriod);
        members.dropLapsed(inGracePeriod);
    }

    private void publish() {
        lapsedMembers = members.lapsed();
        FleetView next = currentView();
        if (!Objects.equals(next, view)) {
            view = next;
        }
        changed = false;
        if (view != deliveredView) {
            listener.accept(view);
            deliveredView = view;
        }
    }

    private FleetView currentView() {
        Map<String, ImmutableList.Builder<RegisteredTarget>> byService = new TreeMap<>();
        for (RegisteredTarget target : targets.all()) {
            if (!target.config().leaving()) {
                byService
                        .computeIfAbsent(target.service(), service -> ImmutableList.builder())
                        .add(target);
            }
        }
        ImmutableMap.Builder<String, ImmutableList<RegisteredTarget>> lists = ImmutableMap.builder();
        byService.forEach((service, builder) -> {
            ImmutableList<RegisteredTarget> list = builder.build();
            ImmutableList<RegisteredTarget> before = view.targets().get(service);
            lists.put(service, before != null && before.equals(list) ? before : list);
        });
        return new FleetView(
                Optional.ofNullable(configuration),
                lists.buildOrThrow(),
                ImmutableList.copyOf(members.all()),
                evacuations.zones());
    }
}
