package io.anvilpick.load.capacity;

import io.anvilpick.claims.Claim;
import io.anvilpick.claims.ClaimMap;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.Vote;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time of one vote and release at a replica, by the number of claims that it holds. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class VoteBenchmark {
    /** Number of claims in the table. */
    @Param({"10000", "20000", "40000", "80000"})
    public int size;

    private ClaimTable table;
    private Claim claim;

    /** Fills the table. */
    @Setup
    public void setUp() {
        table = SampleState.claims(size);
        claim = SampleState.claim(Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Votes on a new claim and releases it. */
    @Benchmark
    public Vote vote() {
        int group = claim.key().groupOf(ClaimMap.GROUP_COUNT);
        Vote vote = table.vote(group, 1, claim);
        table.release(group, claim.key(), claim.holder());
        return vote;
    }
}
