package io.anvilpick.config;

import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The version of the configuration in force on this daemon, which only rises. Thread safe.
 *
 * <p>Reading is a volatile read; offers are ordered by one lock, and listeners run under it, in the order of versions.
 */
public final class ActiveConfiguration {
    private final ReentrantLock lock = new ReentrantLock();
    private final CopyOnWriteArrayList<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile @Nullable Snapshot current;

    /** Returns the version in force, or empty before the first. */
    public Optional<Snapshot> snapshot() {
        return Optional.ofNullable(current);
    }

    /** Returns the version number in force; zero before the first. */
    public long version() {
        Snapshot snapshot = current;
        return snapshot == null ? 0 : snapshot.head().version();
    }

    /** Adds a listener that is told of every version put in force from now on. */
    public void addListener(Consumer<Snapshot> listener) {
        listeners.add(listener);
    }

    /**
     * Puts {@code next} in force if it may follow the present version.
     *
     * @return the reason for refusal, or empty if it is now in force
     */
    public Optional<String> offer(Snapshot next) {
        lock.lock();
        try {
            Snapshot present = current;
            Optional<String> refusal =
                    SuccessionRules.refusalReason(present == null ? null : present.head(), next.head(), next.signed());
            if (refusal.isPresent()) {
                return refusal;
            }
            current = next;
            for (Consumer<Snapshot> listener : listeners) {
                listener.accept(next);
            }
            return Optional.empty();
        } finally {
            lock.unlock();
        }
    }
}
