package io.anvilpick.load.capacity;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.Snapshot;
import io.anvilpick.config.SnapshotAssembler;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time to assemble a configuration after one change, by the number of services. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ChangeBenchmark {
    /** Number of services in the configuration. */
    @Param({"300", "600", "1200", "2400"})
    public int size;

    private final SnapshotAssembler assembler = new SnapshotAssembler(new ConfigurationCodec());
    private Snapshot before;
    private Snapshot after;

    /** Creates two versions that differ in one service. */
    @Setup
    public void setUp() throws ConfigurationException {
        before = SampleState.snapshot(size, 1);
        after = SampleState.snapshot(size, 2);
    }

    /** Assembles the later version from the earlier one and the changed parts. */
    @Benchmark
    public Snapshot change() throws ConfigurationException {
        return assembler.assemble(after.signed(), before, digests -> {
            ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
            digests.forEach(digest -> texts.put(digest, after.parts().get(digest)));
            return texts.buildOrThrow();
        });
    }
}
