package io.anvilpick.shard;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A fixed number of shards of mutable state, each guarded by its own lock. Thread safe.
 *
 * <p>Functions passed to this class run under the lock of one shard. They must neither block nor access another shard.
 *
 * @param <S> the state of one shard, which needs no locking of its own
 */
public final class Shards<S> {
    private final ImmutableList<Shard<S>> shards;

    private record Shard<S>(ReentrantLock lock, S state) {}

    private Shards(ImmutableList<Shard<S>> shards) {
        this.shards = shards;
    }

    /**
     * Creates {@code count} shards, each with a state from {@code newState}.
     *
     * @throws IllegalArgumentException if {@code count} is not positive
     */
    public static <S> Shards<S> create(int count, Supplier<S> newState) {
        checkArgument(count > 0, "count must be positive: %s", count);
        ImmutableList.Builder<Shard<S>> shards = ImmutableList.builder();
        for (int i = 0; i < count; i++) {
            shards.add(new Shard<>(new ReentrantLock(), newState.get()));
        }
        return new Shards<>(shards.build());
    }

    /** Returns the number of shards. */
    public int count() {
        return shards.size();
    }

    /** Applies {@code function} to the state of the shard of {@code key} and returns the result. */
    public <R> R withShardOf(Object key, Function<S, R> function) {
        return withShard(Math.floorMod(spread(key.hashCode()), shards.size()), function);
    }

    /** Applies {@code function} to the state of the shard at {@code index} and returns the result. */
    public <R> R withShard(int index, Function<S, R> function) {
        Shard<S> shard = shards.get(index);
        shard.lock().lock();
        try {
            return function.apply(shard.state());
        } finally {
            shard.lock().unlock();
        }
    }

    /** Calls {@code visitor} with the state of each shard in turn. The states are not a snapshot of one moment. */
    public void forEach(Consumer<S> visitor) {
        for (Shard<S> shard : shards) {
            shard.lock().lock();
            try {
                visitor.accept(shard.state());
            } finally {
                shard.lock().unlock();
            }
        }
    }

    private static int spread(int hash) {
        return hash ^ (hash >>> Short.SIZE);
    }
}
