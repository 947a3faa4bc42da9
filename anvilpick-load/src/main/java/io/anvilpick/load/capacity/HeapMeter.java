package io.anvilpick.load.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Measures the heap retained by state of a given size: heap in use after garbage collection, minus the value before. */
final class HeapMeter {
    private static final int GC_RUNS = 4;

    private final MemoryMXBean memory = ManagementFactory.getMemoryMXBean();

    /**
     * Returns the slope of retained bytes over {@code sizes}.
     *
     * @param newState creates the state of a given size
     */
    Slope measure(String name, String per, ImmutableList<Integer> sizes, IntFunction<Object> newState) {
        warmUp(sizes.get(0), newState);
        List<Double> bytes = new ArrayList<>();
        for (int size : sizes) {
            bytes.add((double) retainedBytes(size, newState));
        }
        return Slope.fit(
                name, "bytes", per, sizes.stream().map(Integer::doubleValue).toList(), bytes);
    }

    /** Loads the classes, whose metadata would otherwise be attributed to the first size. */
    private static void warmUp(int size, IntFunction<Object> newState) {
        checkNotNull(newState.apply(size), "newState");
    }

    private long retainedBytes(int size, IntFunction<Object> newState) {
        long before = usedAfterGc();
        Object state = newState.apply(size);
        long after = usedAfterGc();
        Reference.reachabilityFence(state);
        return after - before;
    }

    private long usedAfterGc() {
        for (int i = 0; i < GC_RUNS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
