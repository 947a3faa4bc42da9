package io.anvilpick.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ClaimTableTest {
    private static final ClaimKey KEY = new ClaimKey("tillhand", "burgas", "key");

    private final ManualTimeSource time = ManualTimeSource.startingAt(1_000_000);
    private final ClaimTable table = new ClaimTable("me", 1, time);

    private Claim claim(String holder) {
        long now = time.epochMillis();
        return new Claim(KEY, holder, "print", new ClaimState.Running(), now + 1_000, now + 60_000);
    }

    private static ClaimMap mapOf(long version, long epoch, String changeId, String... replicas) {
        return new ClaimMap(
                version, ImmutableList.of(new ClaimGroup(0, epoch, changeId, 0, ImmutableList.copyOf(replicas))));
    }

    private void activate(long epoch) {
        assertTrue(table.install(0, epoch, "change" + epoch, ImmutableList.of()));
        table.apply(mapOf(epoch, epoch, "change" + epoch, "me"));
    }

    @Test
    void replicaWithoutInstalledClaimsDoesNotVote() {
        table.apply(mapOf(1, 1, "change", "me"));
        assertInstanceOf(Vote.WrongEpoch.class, table.vote(0, 1, claim("first")));
    }

    @Test
    void secondCallGetsTheClaimOfTheFirst() {
        activate(1);
        assertInstanceOf(Vote.Granted.class, table.vote(0, 1, claim("first")));
        Vote.Taken taken = assertInstanceOf(Vote.Taken.class, table.vote(0, 1, claim("second")));
        assertEquals("first", taken.holder().holder());
    }

    @Test
    void sealedReplicaStopsVotingInTheEpoch() {
        activate(1);
        table.vote(0, 1, claim("first"));
        SealedGroup sealed = table.seal(0, 1);
        assertTrue(sealed.participated());
        assertEquals(1, sealed.claims().size());
        assertInstanceOf(Vote.WrongEpoch.class, table.vote(0, 1, claim("second")));
        assertTrue(table.seal(0, 1).participated(), "a second seal returns the same result");
    }

    @Test
    void replicaThatNeverParticipatedInTheEpochDoesNotCount() {
        assertFalse(table.seal(0, 5).participated());
    }

    @Test
    void claimsInstalledForAnotherChangeAreNotActivated() {
        table.install(0, 1, "loser", ImmutableList.of(claim("first")));
        table.apply(mapOf(1, 1, "winner", "me"));
        assertInstanceOf(Vote.WrongEpoch.class, table.vote(0, 1, claim("second")));
    }

    @Test
    void olderMapIsIgnored() {
        activate(2);
        table.apply(mapOf(1, 1, "change1", "me"));
        assertInstanceOf(Vote.Granted.class, table.vote(0, 2, claim("first")));
    }

    @Test
    void onlyTheHolderSettlesOrReleases() {
        activate(1);
        table.vote(0, 1, claim("first"));
        table.release(0, KEY, "second");
        table.settle(0, KEY, "second", new ClaimState.Done(Optional.empty()));
        Vote.Taken taken = assertInstanceOf(Vote.Taken.class, table.vote(0, 1, claim("third")));
        assertInstanceOf(ClaimState.Running.class, taken.holder().state());
        table.release(0, KEY, "first");
        assertInstanceOf(Vote.Granted.class, table.vote(0, 1, claim("third")));
    }

    @Test
    void expiredClaimIsRemoved() {
        activate(1);
        table.vote(0, 1, claim("first"));
        assertEquals(1, table.removeExpired());
        time.advance(Duration.ofSeconds(61));
        assertEquals(0, table.removeExpired());
        assertInstanceOf(Vote.Granted.class, table.vote(0, 1, claim("second")));
    }
}
