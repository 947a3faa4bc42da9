package io.anvilpick.load.capacity;

import io.anvilpick.config.RequestConfig;
import io.anvilpick.dispatch.Admission;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.CallResult;
import io.anvilpick.dispatch.DispatchResult;
import io.anvilpick.dispatch.Dispatcher;
import io.anvilpick.time.Deadline;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time to submit and finish one call, by the number of targets of its service. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {
    private static final RequestConfig LOOKUP = new RequestConfig("lookup", "GET", "/rows", true, false, 400, 0);
    private static final long TIMEOUT_NANOS = TimeUnit.HOURS.toNanos(1);

    /** Number of targets of the service. */
    @Param({"11", "22", "44", "88"})
    public int size;

    private Dispatcher dispatcher;
    private long nextId;

    /** Creates the dispatcher. */
    @Setup
    public void setUp() {
        dispatcher = SampleState.dispatcher(size);
    }

    /** Submits and finishes one call. */
    @Benchmark
    public DispatchResult decide() {
        Call call = new Call(nextId++, "a", LOOKUP, new Deadline(System.nanoTime() + TIMEOUT_NANOS));
        if (dispatcher.submit(call) instanceof Admission.Assigned assigned) {
            return dispatcher.finish(assigned.assignment(), new CallResult.Answered(Optional.empty(), false));
        }
        throw new IllegalStateException("an idle dispatcher did not assign the call");
    }
}
