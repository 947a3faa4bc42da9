package io.anvilpick.load.capacity;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** Measures the heap that state of a given size retains: what is in use after collections with it, less without it. */
final class HeapMeter {
    private static final int COLLECTIONS = 4;

    private final MemoryMXBean memory = ManagementFactory.getMemoryMXBean();

    /** Returns the slope of retained bytes over {@code sizes}. */
    Slope measure(String name, String per, ImmutableList<Integer> sizes, IntFunction<Object> newState) {
        warmUp(sizes.get(0), newState);
        List<Double> bytes = new ArrayList<>();
        for (int size : sizes) {
            bytes.add((double) retained(size, newState));
        }
        return Slope.fit(
                name, "bytes", per, sizes.stream().map(Integer::doubleValue).toList(), bytes);
    }

    /** Loads classes, whose metadata would otherwise count with the first size. */
    private static void warmUp(int size, IntFunction<Object> newState) {
        checkNotNull(newState.apply(size), "newState");
    }

    private long retained(int size, IntFunction<Object> newState) {
        long before = usedAfterCollection();
        Object state = newState.apply(size);
        long after = usedAfterCollection();
        Reference.reachabilityFence(state);
        return after - before;
    }

    private long usedAfterCollection() {
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
