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
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private Duration age = Duration.ZERO;
    private ImmutableSet<String> lapsed = ImmutableSet.of();
    private final GrantorMembers members = new GrantorMembers(time, "self", () -> age, () -> lapsed);

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
    void daemonThatFoundNoOtherGrantsSoon() {
        observe();
        advance(1);
        observe("self");
        advance(2.9);
        assertFalse(members.mayGrant());
        advance(0.1);
        assertTrue(members.mayGrant());
        assertEquals(0.5, members.rateFactor());
        advance(17);
        assertEquals(1, members.rateFactor());
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
    void restartedDaemonGrantsAtOnceAtHalfItsRateAtFirst() {
        observe("a", "self");
        assertTrue(members.mayGrant());
        assertEquals(0.5, members.rateFactor());
        advance(20);
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
