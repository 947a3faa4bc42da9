package io.anvilpick.dispatch;

import io.anvilpick.config.TargetConfig;
import io.anvilpick.time.Deadline;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;

/**
 * What the targets of a service have asked of this daemon in their answers: no more calls, since they are leaving, or nothing until
 * a deadline. Guarded by the dispatcher's lock.
 *
 * <p>Load pattern: targets that leave or are full while many calls arrive. Each call sent to one of them is rejected and has to be
 * sent again.
 *
 * <p>A target is known by its registration, too, which may be older than its answers. Which of the two wins:
 *
 * <table>
 * <caption>Sources of a target's state</caption>
 * <tr><th>registration</th><th>answer</th><th>state</th></tr>
 * <tr><td>ready</td><td>leaving, of the same start</td><td>leaving</td></tr>
 * <tr><td>draining or removed</td><td>any</td><td>leaving</td></tr>
 * <tr><td>removed, then ready again, of the same start</td><td>leaving</td><td>leaving</td></tr>
 * <tr><td>ready, of another start or address</td><td>leaving</td><td>serving</td></tr>
 * <tr><td>ready, without a start time</td><td>leaving</td><td>leaving for {@link #UNCONFIRMED_LEAVING_NANOS}</td></tr>
 * </table>
 *
 * <p>A wish for rest follows the same table and ends at its deadline.
 */
final class Announcements {
    private static final Logger LOG = Logger.getLogger(Announcements.class);

    /** Time for which an announcement of a target without start time holds. It may stem from an earlier start. */
    private static final long UNCONFIRMED_LEAVING_NANOS = 30_000_000_000L;

    /** Time for which announcements of targets without registration are kept. It may reappear after an outage of the store. */
    private static final long KEPT_NANOS = 600_000_000_000L;

    private final Map<String, Announcement> byTarget = new HashMap<>();

    /** Identifies one start of a target. */
    private record Start(String address, long bornMillis) {}

    private record Announcement(Start start, long atNanos, boolean leaving, Deadline restEnd) {}

    /** Records that a target asked for no more calls. */
    void recordLeaving(TargetConfig target, long bornMillis, long now) {
        if (!isLeaving(target, bornMillis, now)) {
            LOG.infof("event=target_leaving id=%s born=%d", target.id(), bornMillis);
        }
        byTarget.put(
                target.id(),
                new Announcement(new Start(target.address(), bornMillis), now, true, restEnd(target, bornMillis, now)));
    }

    /** Records that a target asked for rest until {@code end}. A longer rest that it has asked for before still holds. */
    void recordRest(TargetConfig target, long bornMillis, Deadline end, long now) {
        Deadline before = restEnd(target, bornMillis, now);
        if (before.remainingNanos(now) == 0) {
            LOG.infof(
                    "event=target_rests id=%s ms=%d",
                    target.id(), TimeUnit.NANOSECONDS.toMillis(end.remainingNanos(now)));
        }
        boolean leaving = isLeaving(target, bornMillis, now);
        Deadline later = end.remainingNanos(before.atNanos()) > 0 ? end : before;
        byTarget.put(target.id(), new Announcement(new Start(target.address(), bornMillis), now, leaving, later));
    }

    /** Returns whether the target has announced that it is leaving. */
    boolean isLeaving(TargetConfig target, long bornMillis, long now) {
        Announcement announcement = byTarget.get(target.id());
        if (announcement == null || !announcement.leaving() || !isOf(announcement, target, bornMillis)) {
            return false;
        }
        return bornMillis != TargetTraits.UNKNOWN_START || now - announcement.atNanos() < UNCONFIRMED_LEAVING_NANOS;
    }

    /** Returns the time until which the target wants neither calls nor probes; now if it does not rest. */
    Deadline restEnd(TargetConfig target, long bornMillis, long now) {
        Announcement announcement = byTarget.get(target.id());
        boolean resting = announcement != null
                && isOf(announcement, target, bornMillis)
                && announcement.restEnd().remainingNanos(now) > 0;
        return resting ? announcement.restEnd() : new Deadline(now);
    }

    boolean isEmpty() {
        return byTarget.isEmpty();
    }

    /** Forgets old announcements of targets other than {@code registered}. */
    void retain(Set<String> registered, long now) {
        byTarget.entrySet()
                .removeIf(entry -> !registered.contains(entry.getKey())
                        && now - entry.getValue().atNanos() > KEPT_NANOS);
    }

    private static boolean isOf(Announcement announcement, TargetConfig target, long bornMillis) {
        return announcement.start().equals(new Start(target.address(), bornMillis));
    }
}
