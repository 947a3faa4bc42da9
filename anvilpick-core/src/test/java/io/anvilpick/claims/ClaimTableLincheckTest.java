package io.anvilpick.claims;

import com.google.common.collect.ImmutableList;
import io.anvilpick.time.ManualTimeSource;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Checks that concurrent votes, settlements, releases and seals of one group are linearizable. */
public class ClaimTableLincheckTest {
    private static final ClaimKey KEY = new ClaimKey("s", "t", "k");

    private final ClaimTable table = new ClaimTable("me", 1, ManualTimeSource.startingAt(0));

    public ClaimTableLincheckTest() {
        table.install(0, 1, "change", ImmutableList.of());
        table.apply(new ClaimMap(1, ImmutableList.of(new ClaimGroup(0, 1, "change", 0, ImmutableList.of("me")))));
    }

    @Operation
    public String vote(@Param(gen = IntGen.class, conf = "1:3") int holder) {
        Claim claim = new Claim(KEY, "holder" + holder, "print", new ClaimState.Running(), 1, 1);
        return switch (table.vote(0, 1, claim)) {
            case Vote.Granted ignored -> "granted";
            case Vote.Taken taken -> taken.holder().holder() + taken.holder().state();
            case Vote.WrongEpoch wrong -> "wrong epoch " + wrong.epoch();
            case Vote.NoReply ignored -> "no reply";
        };
    }

    @Operation
    public void release(@Param(gen = IntGen.class, conf = "1:3") int holder) {
        table.release(0, KEY, "holder" + holder);
    }

    @Operation
    public void settle(@Param(gen = IntGen.class, conf = "1:3") int holder) {
        table.settle(0, KEY, "holder" + holder, new ClaimState.Done(Optional.empty()));
    }

    @Operation
    public int seal() {
        return table.seal(0, 1).claims().size();
    }

    @Test
    public void isLinearizable() {
        new StressOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(ClaimTableLincheckTest.class);
    }
}
