package io.anvilpick.fleet;

import static com.google.common.base.Preconditions.checkState;
import static io.anvilpick.fleet.FleetSamples.configuration;
import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetStateTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FleetState state = new FleetState(time, view -> {});

    private void registerTargets(String... ids) {
        for (String id : ids) {
            state.apply(List.of(new FleetChange.TargetRegistered(target(id, "s", false))));
        }
    }

    private List<String> ids() {
        return state.view().targets().getOrDefault("s", ImmutableList.of()).stream()
                .map(RegisteredTarget::id)
                .toList();
    }

    private Optional<Long> version() {
        return state.view().configuration().map(each -> each.version());
    }

    @Test
    void targetsThatLeaveOrAreRemovedGetNoMoreCalls() {
        registerTargets("a", "b", "c");
        state.apply(
                List.of(new FleetChange.TargetRegistered(target("a", "s", true)), new FleetChange.TargetRemoved("b")));
        assertEquals(List.of("c"), ids());
    }

    /** Guards against a daemon that restarts during an evacuation and serves before it knows of it. */
    @Test
    void evacuatedZonesAreInTheFirstViewThatHasAConfiguration() {
        List<FleetView> views = new ArrayList<>();
        FleetState restarted = new FleetState(time, views::add);
        restarted.replaceAll(List.of(
                new FleetChange.ConfigurationWritten(configuration(1)),
                new FleetChange.TargetRegistered(target("a", "s", false)),
                new FleetChange.ZoneEvacuated("z")));
        assertEquals(1, views.size());
        assertEquals(ImmutableSet.of("z"), views.getFirst().evacuatedZones());
    }

    @Test
    void zoneReturnsWithTheDeletionOrWithAFullReadWithoutIt() {
        state.apply(List.of(new FleetChange.ZoneEvacuated("y"), new FleetChange.ZoneEvacuated("z")));
        state.apply(List.of(new FleetChange.ZoneReturned("y")));
        assertEquals(ImmutableSet.of("z"), state.view().evacuatedZones());
        state.replaceAll(List.of(new FleetChange.ZoneEvacuated("z")));
        assertEquals(ImmutableSet.of("z"), state.view().evacuatedZones());
        state.replaceAll(List.of());
        assertEquals(ImmutableSet.of(), state.view().evacuatedZones());
    }

    /** Guards against a zone that gets calls again because the store returned from a copy older than its evacuation. */
    @Test
    void evacuationThatAnOlderCopyLacksStaysUntilTheOperatorMayHaveWrittenItAgain() {
        state.onEra(1);
        state.replaceAll(List.of(new FleetChange.ZoneEvacuated("y"), new FleetChange.ZoneEvacuated("z")));
        state.onEra(2);
        state.replaceAll(List.of());
        assertEquals(ImmutableSet.of("y", "z"), state.view().evacuatedZones());
        state.apply(List.of(new FleetChange.ZoneEvacuated("z")));
        time.advance(FleetState.REREGISTRATION_GRACE.plusMillis(1));
        state.expire();
        assertEquals(ImmutableSet.of("z"), state.view().evacuatedZones());
    }

    @Test
    void evacuationStaysWhileTheStoreIsUnavailable() {
        state.apply(List.of(new FleetChange.ZoneEvacuated("z")));
        state.onStoreUnavailable("no answer");
        time.advance(Duration.ofMinutes(10));
        state.expire();
        assertEquals(ImmutableSet.of("z"), state.view().evacuatedZones());
    }

    @Test
    void registrationsThatLapseDuringAnOutageAreKeptForTheGracePeriod() {
        registerTargets("a", "b");
        state.onStoreUnavailable("no answer");
        time.advance(Duration.ofSeconds(5));
        state.onStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a"), new FleetChange.TargetRemoved("b")));
        assertEquals(List.of("a", "b"), ids());
        time.advance(Duration.ofSeconds(1));
        registerTargets("a");
        time.advance(FleetState.REREGISTRATION_GRACE);
        state.expire();
        assertEquals(List.of("a"), ids());
    }

    /** Guards against a daemon that grants tokens although its registration has lapsed and the others no longer count it. */
    @Test
    void lapsedDaemonsStayInTheViewAndAreListed() {
        EntryMember member = new EntryMember("d", "d:1", "d:2", "r", "z");
        state.apply(List.of(new FleetChange.MemberRegistered(member)));
        state.onStoreUnavailable("no answer");
        state.apply(List.of(new FleetChange.MemberRemoved("d")));
        assertEquals(List.of(member), state.view().members());
        assertEquals(Set.of("d"), state.lapsedMembers());
        state.apply(List.of(new FleetChange.MemberRegistered(member)));
        assertEquals(Set.of(), state.lapsedMembers());
    }

    /** Guards against requests at a target that has left, because one call to the store had failed (issue 36). */
    @ParameterizedTest
    @ValueSource(longs = {200, 3_000})
    void onlyTargetOfAServiceIsRemovedAtOnceAfterASingleFailedCall(long millis) {
        registerTargets("a");
        state.onStoreUnavailable("no response in time");
        time.advance(Duration.ofMillis(millis));
        state.onStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a")));
        assertEquals(List.of(), ids());
    }

    @Test
    void lapsedTargetIsRemovedAfterASecondOutage() {
        registerTargets("a");
        state.onStoreUnavailable("no answer");
        time.advance(FleetState.MIN_OUTAGE);
        state.onStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a")));
        state.onStoreUnavailable("no answer again");
        time.advance(Duration.ofMinutes(1));
        state.expire();
        assertEquals(List.of("a"), ids());
        state.onStoreAnswered();
        time.advance(FleetState.REREGISTRATION_GRACE);
        state.expire();
        assertEquals(List.of(), ids());
    }

    @Test
    void minorityThatIsMissingAfterAnOutageIsRemovedAtOnce() {
        registerTargets("a", "b", "c");
        state.onStoreUnavailable("cut off");
        time.advance(Duration.ofSeconds(12));
        state.onStoreAnswered();
        state.replaceAll(List.of(
                new FleetChange.TargetRegistered(target("a", "s", false)),
                new FleetChange.TargetRegistered(target("b", "s", false))));
        assertEquals(List.of("a", "b"), ids());
    }

    @Test
    void lapsedTargetThatRegistersAsLeavingGetsNoCalls() {
        registerTargets("a");
        state.onStoreUnavailable("no answer");
        time.advance(FleetState.MIN_OUTAGE);
        state.onStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a")));
        state.apply(List.of(new FleetChange.TargetRegistered(target("a", "s", true))));
        assertEquals(List.of(), ids());
    }

    @Test
    void replaceAllRemovesMissingRegistrations() {
        registerTargets("a", "b");
        state.apply(List.of(new FleetChange.MemberRegistered(member("m", "z"))));
        state.replaceAll(List.of(new FleetChange.TargetRegistered(target("b", "s", false))));
        assertEquals(List.of("b"), ids());
        assertEquals(List.of(), state.view().members());
    }

    @Test
    void configurationIsNeverReplacedByAnOlderOne() {
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(7))));
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(5))));
        assertEquals(Optional.of(7L), version());
        state.replaceAll(List.of(new FleetChange.ConfigurationWritten(configuration(6))));
        assertEquals(Optional.of(7L), version());
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(9))));
        assertEquals(Optional.of(9L), version());
    }

    @Test
    void unreadableEntryChangesNothing() {
        registerTargets("a");
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(7))));
        FleetView before = state.view();
        state.apply(List.of(unreadableConfiguration(OptionalLong.empty())));
        assertSame(before, state.view());
    }

    private static FleetChange unreadableConfiguration(OptionalLong version) {
        return new FleetChange.Unreadable("op/config", new FleetChange.Subject.Configuration(version), "no JSON");
    }

    /** Guards against an old configuration in force that nothing shows but one line of log. */
    @Test
    void newerConfigurationThatIsUnreadableIsShownUntilAnotherTakesEffect() {
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(7))));
        state.apply(List.of(unreadableConfiguration(OptionalLong.of(6))));
        assertEquals(Optional.empty(), state.unreadableConfiguration());
        state.apply(List.of(unreadableConfiguration(OptionalLong.of(9))));
        assertEquals(
                Optional.of(new FleetChange.Subject.Configuration(OptionalLong.of(9))),
                state.unreadableConfiguration());
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(8))));
        assertTrue(state.unreadableConfiguration().isPresent());
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(10))));
        assertEquals(Optional.empty(), state.unreadableConfiguration());
        state.apply(List.of(unreadableConfiguration(OptionalLong.empty())));
        assertTrue(state.unreadableConfiguration().isPresent());
        state.replaceAll(List.of(new FleetChange.ConfigurationWritten(configuration(10))));
        assertEquals(Optional.empty(), state.unreadableConfiguration());
        assertEquals(new UnreadableCounts(3, 0, 0, 0), state.unreadableCounts());
    }

    @Test
    void countsUnreadableItemsByWhatTheyDescribe() {
        state.apply(List.of(
                new FleetChange.Unreadable("t/a", new FleetChange.Subject.Target("a"), "no JSON"),
                new FleetChange.Unreadable("m/a", new FleetChange.Subject.Member("a"), "no JSON"),
                new FleetChange.Unreadable("m/b", new FleetChange.Subject.Member("b"), "no JSON"),
                new FleetChange.Unreadable("x", new FleetChange.Subject.Other("x"), "no base64")));
        assertEquals(new UnreadableCounts(0, 1, 2, 1), state.unreadableCounts());
    }

    @Test
    void unchangedListOfTargetsStaysTheSameObject() {
        registerTargets("a");
        ImmutableList<RegisteredTarget> before = state.view().targets().get("s");
        state.apply(List.of(new FleetChange.TargetRegistered(target("x", "other", false))));
        assertSame(before, state.view().targets().get("s"));
    }

    /** Guards against dispatchers that keep an old view for good after one failed update. */
    @Test
    void viewThatTheListenerFailedToTakeIsDeliveredByTheNextReadThoughNothingChanged() {
        FailingOnceListener listener = new FailingOnceListener();
        FleetState failing = new FleetState(time, listener::accept);
        List<FleetChange> changes = List.of(new FleetChange.ConfigurationWritten(configuration(7)));
        assertThrows(StackOverflowError.class, () -> failing.apply(changes));
        failing.replaceAll(changes);
        assertEquals(List.of(failing.view()), listener.delivered);
        failing.replaceAll(changes);
        assertEquals(List.of(failing.view()), listener.delivered);
    }

    /** Guards against dispatchers that keep an old view until the next change after one failed update. */
    @Test
    void viewThatTheListenerFailedToTakeIsDeliveredByTheNextCheckForLapsedRegistrations() {
        FailingOnceListener listener = new FailingOnceListener();
        FleetState failing = new FleetState(time, listener::accept);
        List<FleetChange> changes = List.of(new FleetChange.TargetRegistered(target("a", "s", false)));
        assertThrows(StackOverflowError.class, () -> failing.apply(changes));
        failing.expire();
        assertEquals(List.of(failing.view()), listener.delivered);
        failing.expire();
        assertEquals(List.of(failing.view()), listener.delivered);
    }

    /** Guards against dispatchers that keep a part of a failed view because the content went back to that before it. */
    @Test
    void viewAfterAFailedOneIsDeliveredThoughItEqualsTheOneBefore() {
        FailingOnceListener listener = new FailingOnceListener();
        listener.failed = true;
        FleetState failing = new FleetState(time, listener::accept);
        failing.apply(List.of(new FleetChange.TargetRegistered(target("a", "s", false))));
        listener.failed = false;
        List<FleetChange> leaving = List.of(new FleetChange.TargetRegistered(target("a", "s", true)));
        assertThrows(StackOverflowError.class, () -> failing.apply(leaving));
        failing.apply(List.of(new FleetChange.TargetRegistered(target("a", "s", false))));
        assertEquals(2, listener.delivered.size());
        assertSame(failing.view(), listener.delivered.getLast());
    }

    /** Guards against a change that was applied in part and reaches nobody until the next one. */
    @Test
    void changesBeforeAFailureAreInTheViewAfterTheNextCheckForLapsedRegistrations() {
        Iterable<FleetChange> changes = () -> Stream.<FleetChange>of(
                        new FleetChange.TargetRegistered(target("a", "s", false)),
                        new FleetChange.TargetRegistered(target("b", "s", false)))
                .peek(change -> checkState(!change.equals(new FleetChange.TargetRegistered(target("b", "s", false)))))
                .iterator();
        assertThrows(IllegalStateException.class, () -> state.apply(changes));
        state.expire();
        assertEquals(List.of("a"), ids());
    }

    private static final class FailingOnceListener {
        private final List<FleetView> delivered = new ArrayList<>();
        private boolean failed;

        private void accept(FleetView view) {
            if (!failed) {
                failed = true;
                throw new StackOverflowError();
            }
            delivered.add(view);
        }
    }
}
