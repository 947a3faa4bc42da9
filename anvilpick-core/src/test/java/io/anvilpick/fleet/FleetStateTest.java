package io.anvilpick.fleet;

import static io.anvilpick.fleet.FleetSamples.configuration;
import static io.anvilpick.fleet.FleetSamples.member;
import static io.anvilpick.fleet.FleetSamples.target;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.google.common.collect.ImmutableList;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class FleetStateTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final FleetState state = new FleetState(time, view -> {});

    private void seen(String... ids) {
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
    void aTargetThatDrainsOrVanishesGetsNoCallsAtOnce() {
        seen("a", "b", "c");
        state.apply(
                List.of(new FleetChange.TargetRegistered(target("a", "s", true)), new FleetChange.TargetRemoved("b")));
        assertEquals(List.of("c"), ids());
    }

    @Test
    void whatVanishesWhileTheStoreWasAwayIsKeptUntilItsOwnerCouldBeBack() {
        seen("a", "b");
        state.noteStoreAway("silent");
        time.advance(Duration.ofSeconds(5));
        state.noteStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a"), new FleetChange.TargetRemoved("b")));
        assertEquals(List.of("a", "b"), ids());
        time.advance(Duration.ofSeconds(1));
        seen("a");
        time.advance(FleetState.RETURN_TIME);
        state.expire();
        assertEquals(List.of("a"), ids());
    }

    @Test
    void aLapsedTargetIsDroppedAlsoWhenTheStoreGoesAwayAgainAndReturns() {
        seen("a");
        state.noteStoreAway("silent");
        state.noteStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a")));
        state.noteStoreAway("silent again");
        time.advance(Duration.ofMinutes(1));
        state.expire();
        assertEquals(List.of("a"), ids());
        state.noteStoreAnswered();
        time.advance(FleetState.RETURN_TIME);
        state.expire();
        assertEquals(List.of(), ids());
    }

    @Test
    void aSingleTargetThatVanishedWhileThisDaemonWasCutOffIsGoneAtOnce() {
        seen("a", "b", "c");
        state.noteStoreAway("cut off");
        time.advance(Duration.ofSeconds(12));
        state.noteStoreAnswered();
        state.replaceAll(List.of(
                new FleetChange.TargetRegistered(target("a", "s", false)),
                new FleetChange.TargetRegistered(target("b", "s", false))));
        assertEquals(List.of("a", "b"), ids());
    }

    @Test
    void aDrainingTargetOfALapsedRegistrationGetsNoCalls() {
        seen("a");
        state.noteStoreAway("silent");
        state.noteStoreAnswered();
        state.apply(List.of(new FleetChange.TargetRemoved("a")));
        state.apply(List.of(new FleetChange.TargetRegistered(target("a", "s", true))));
        assertEquals(List.of(), ids());
    }

    @Test
    void readingEverythingAnewDropsWhatIsNotInIt() {
        seen("a", "b");
        state.apply(List.of(new FleetChange.MemberRegistered(member("m", "z"))));
        state.replaceAll(List.of(new FleetChange.TargetRegistered(target("b", "s", false))));
        assertEquals(List.of("b"), ids());
        assertEquals(List.of(), state.view().members());
    }

    @Test
    void aConfigurationNeverGivesWayToAnOlderOne() {
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(7))));
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(5))));
        assertEquals(Optional.of(7L), version());
        state.replaceAll(List.of(new FleetChange.ConfigurationWritten(configuration(6))));
        assertEquals(Optional.of(7L), version());
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(9))));
        assertEquals(Optional.of(9L), version());
    }

    @Test
    void anEntryThatCannotBeReadChangesNothing() {
        seen("a");
        state.apply(List.of(new FleetChange.ConfigurationWritten(configuration(7))));
        FleetView before = state.view();
        state.apply(List.of(new FleetChange.Unreadable("op/config", "no JSON")));
        assertSame(before, state.view());
    }

    @Test
    void theListOfAServiceStaysTheSameObjectWhileNothingInItChanges() {
        seen("a");
        ImmutableList<RegisteredTarget> before = state.view().targets().get("s");
        state.apply(List.of(new FleetChange.TargetRegistered(target("x", "other", false))));
        assertSame(before, state.view().targets().get("s"));
    }
}
