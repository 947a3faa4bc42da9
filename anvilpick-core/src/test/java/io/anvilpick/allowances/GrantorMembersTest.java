package io.anvilpick.allowances;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetView;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class GrantorMembersTest {
    private static final long NOW_MILLIS = 1_700_000_000_000L;

    private final ManualTimeSource time = ManualTimeSource.startingAt(NOW_MILLIS);
    private Duration age = Duration.ZERO;
    private ImmutableSet<String> lapsed = ImmutableSet.of();
    private final GrantorMembers members = new GrantorMembers(time, "self", () -> age, () -> lapsed, false);

    private static EntryMember member(String name, long registeredMillis) {
        return new EntryMember(name, name + ":1", name + ":2", "r", "z", registeredMillis);
    }

    private GrantorMembers bootstrapping() {
        return new GrantorMembers(time, "self", () -> age, () -> lapsed, true);
    }

    private static void observe(GrantorMembers observer, EntryMember... list) {
        observer.observe(new FleetView(Optional.empty(), ImmutableMap.of(), ImmutableList.copyOf(list)));
    }

    private void observe(String... names) {
        ImmutableList<EntryMember> list = Stream.of(names)
                .map(name -> new EntryMember(name, name + ":1", name + ":2", "r", "z"))
                .collect(ImmutableList.toImmutableList());
        members.observe(new FleetView(Optional.empty(), ImmutableMap.of(), list));
    }

    /** Advances the time in steps of 100 ms, after each of which the daemon checks its registration. */
    private void advance(double seconds) {
        for (long i = 0; i < Math.round(seconds * 10); i++) {
            time.advance(Duration.ofMillis(100));
            members.check();
        }
    }

    private ImmutableList<String> candidates() {
        return members.forGrantor().candidates().stream()
                .map(EntryMember::name)
                .collect(ImmutableList.toImmutableList());
    }

    /** Guards against a new daemon that grants beside one that it displaces and that is cut off from the store. */
    @Test
    void firstRegistrationWaitsUntilViewsWithoutItHaveExpired() {
        observe("a");
        advance(1);
        observe("a", "self");
        advance(19.9);
        assertFalse(members.mayGrant());
        assertEquals(Duration.ofMillis(100), members.settlesAfter());
        advance(0.1);
        assertTrue(members.mayGrant());
    }

    @Test
    void daemonThatFoundNoOtherGrantsItsFullRateByAViewReadAfterAllFoundersRegistered() {
        observe();
        advance(1);
        observe("self");
        age = Duration.ofMillis(200);
        advance(6.1);
        assertFalse(members.mayGrant());
        advance(0.1);
        assertTrue(members.mayGrant());
        assertEquals(1, members.rateFactor());
    }

    /** Guards against a founder that grants without a read after the others registered. */
    @Test
    void founderWaitsForARead() {
        observe();
        observe("self");
        advance(4);
        for (int i = 0; i < 25; i++) {
            age = age.plusMillis(100);
            advance(0.1);
        }
        assertFalse(members.mayGrant());
        age = Duration.ZERO;
        assertTrue(members.mayGrant());
    }

    /** Guards against a view from after an outage of the store in which the other founders are missing (seed 301 of the model test). */
    @Test
    void founderThatDidNotReadForLongerThanLeasesAllowWaitsForTheFullTime() {
        observe();
        observe("self");
        advance(3);
        for (int i = 0; i < 35; i++) {
            age = age.plusMillis(100);
            advance(0.1);
        }
        age = Duration.ZERO;
        assertFalse(members.mayGrant());
        advance(19.9);
        assertFalse(members.mayGrant());
        advance(0.1);
        assertTrue(members.mayGrant());
    }

    @Test
    void daemonOfAFirstStartIsAFounderAlthoughItFindsOthers() {
        GrantorMembers founder = bootstrapping();
        observe(founder, member("a", NOW_MILLIS - 3_000), member("b", NOW_MILLIS + 3_000));
        observe(founder, member("a", NOW_MILLIS - 3_000), member("b", NOW_MILLIS + 3_000), member("self", NOW_MILLIS));
        for (int i = 0; i < 5; i++) {
            time.advance(Duration.ofSeconds(1));
            founder.check();
        }
        time.advance(Duration.ofMillis(999));
        assertFalse(founder.mayGrant());
        time.advance(Duration.ofMillis(1));
        assertTrue(founder.mayGrant());
        assertEquals(1, founder.rateFactor());
    }

    /** Guards against settings that still state a first start when a daemon registers anew later. */
    @Test
    void daemonThatFindsAnOldRegistrationIsNoFounder() {
        GrantorMembers late = bootstrapping();
        observe(late, member("a", NOW_MILLIS - 30_000));
        observe(late, member("a", NOW_MILLIS - 30_000), member("self", NOW_MILLIS));
        for (int i = 0; i < 19; i++) {
            time.advance(Duration.ofSeconds(1));
            late.check();
        }
        time.advance(Duration.ofMillis(999));
        assertFalse(late.mayGrant());
        time.advance(Duration.ofMillis(1));
        assertTrue(late.mayGrant());
    }

    /** Guards against a founder that starts later and is missing at a daemon that is cut off from the store. */
    @Test
    void daemonOfAFirstStartGrantsByRecentViewsOnlyForAMinute() {
        GrantorMembers founder = bootstrapping();
        observe(founder, member("self", NOW_MILLIS - 40_000));
        age = Duration.ofSeconds(5);
        assertTrue(founder.mayGrant());
        age = Duration.ofMillis(5_001);
        assertFalse(founder.mayGrant());
        for (int i = 0; i < 60; i++) {
            time.advance(Duration.ofSeconds(1));
            founder.check();
        }
        assertFalse(founder.mayGrant());
        time.advance(Duration.ofMillis(1));
        assertTrue(founder.mayGrant());
    }

    @Test
    void foundersCountAtOnce() {
        observe("a", "self");
        advance(8);
        age = Duration.ofSeconds(2);
        observe("a", "b", "self");
        assertEquals(ImmutableList.of("a", "b", "self"), candidates());
        advance(0.1);
        age = Duration.ofSeconds(2);
        observe("a", "b", "c", "self");
        assertEquals(ImmutableList.of("a", "b", "self"), candidates());
        GrantorMembers founder = bootstrapping();
        observe(founder, member("self", NOW_MILLIS));
        time.advance(Duration.ofSeconds(59));
        observe(founder, member("a", NOW_MILLIS), member("self", NOW_MILLIS));
        assertEquals(2, founder.forGrantor().candidates().size());
    }

    /** Guards against daemons that start while the store returns from an outage, when the others have not registered again yet. */
    @Test
    void emptyStoreAfterAFailedReadDoesNotShowThatThereIsNoOther() {
        advance(3);
        observe();
        observe("self");
        advance(3);
        assertFalse(members.mayGrant());
    }

    @Test
    void restartedDaemonOfUnknownOrRecentRegistrationGrantsAtOnceAtHalfItsRateAtFirst() {
        for (long registered : new long[] {0, NOW_MILLIS - 29_999, NOW_MILLIS + 60_000}) {
            ManualTimeSource clock = ManualTimeSource.startingAt(NOW_MILLIS);
            GrantorMembers restarted = new GrantorMembers(clock, "self", () -> Duration.ZERO, ImmutableSet::of, false);
            observe(restarted, member("a", 1), member("self", registered));
            assertTrue(restarted.mayGrant());
            assertEquals(0.5, restarted.rateFactor());
            clock.advance(Duration.ofMillis(19_999));
            assertEquals(0.5, restarted.rateFactor());
            clock.advance(Duration.ofMillis(1));
            assertEquals(1, restarted.rateFactor());
        }
    }

    /** Guards against refusals after a loss of power of all daemons. */
    @Test
    void restartedDaemonThatAllOthersCountGrantsItsFullRateAtOnce() {
        observe(members, member("a", 0), member("self", NOW_MILLIS - 30_000));
        assertTrue(members.mayGrant());
        assertEquals(1, members.rateFactor());
    }

    @Test
    void oldViewOrLapsedRegistrationEndsTheRightToGrant() {
        observe("a", "self");
        age = Duration.ofSeconds(15);
        assertTrue(members.mayGrant());
        age = Duration.ofMillis(15_001);
        assertFalse(members.mayGrant());
        age = Duration.ZERO;
        assertTrue(members.mayGrant());
        lapsed = ImmutableSet.of("self");
        assertFalse(members.mayGrant());
        lapsed = ImmutableSet.of();
        assertTrue(members.mayGrant());
        observe("a");
        assertFalse(members.mayGrant());
    }

    /** Guards against a process that was suspended, and whose registration lapsed and was written again unseen. */
    @Test
    void longTimeWithoutAReadStartsTheWaitAgain() {
        observe("a", "self");
        time.advance(Duration.ofSeconds(60));
        age = Duration.ofSeconds(60);
        members.check();
        age = Duration.ZERO;
        assertFalse(members.mayGrant());
        advance(20);
        assertTrue(members.mayGrant());
    }

    @Test
    void disappearedDaemonIsCountedUntilItHasStopped() {
        observe("a", "b", "self");
        observe("b", "self");
        advance(19.9);
        assertEquals(ImmutableList.of("a", "b", "self"), candidates());
        advance(0.1);
        assertEquals(ImmutableList.of("b", "self"), candidates());
    }

    @Test
    void newDaemonCountsFromTheLastReadWithoutIt() {
        observe("a", "self");
        advance(30);
        age = Duration.ofSeconds(4);
        observe("a", "new", "self");
        age = Duration.ZERO;
        assertEquals(ImmutableList.of("a", "self"), candidates());
        assertEquals(3, members.forGrantor().daemons());
        advance(15.9);
        assertEquals(ImmutableList.of("a", "self"), candidates());
        advance(0.1);
        assertEquals(ImmutableList.of("a", "new", "self"), candidates());
    }

    @Test
    void daemonThatReportsThatItDoesNotGrantYetIsNotAsked() {
        observe("a", "self");
        members.reportUnsettled("a", Duration.ofSeconds(2));
        advance(0.1);
        assertEquals(1, members.forHolder().candidates().size());
        assertEquals(2, members.forGrantor().candidates().size());
        advance(2);
        assertEquals(2, members.forHolder().candidates().size());
    }
}
