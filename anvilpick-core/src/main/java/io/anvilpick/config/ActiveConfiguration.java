package io.anvilpick.config;

import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The version of the configuration that this daemon uses, which never decreases. Thread safe.
 *
 * <p>Reads are volatile reads. One lock serializes updates. Listeners run while it is held, in the order of versions.
 */
public final class ActiveConfiguration {
    private final ReentrantLock lock = new ReentrantLock();
    private final CopyOnWriteArrayList<Consumer<Snapshot>> listeners = new CopyOnWriteArrayList<>();
    private volatile @Nullable Snapshot current;

    /** Returns the active version, or empty before the first. */
    public Optional<Snapshot> snapshot() {
        return Optional.ofNullable(current);
    }

    /** Returns the number of the active version, or zero before the first. */
    public long version() {
        Snapshot snapshot = current;
        return snapshot == null ? 0 : snapshot.head().version();
    }

    /** Adds a listener that receives every version activated from now on. */
    public void addListener(Consumer<Snapshot> listener) {
        listeners.add(listener);
    }

    /**
     * Activates {@code next} if {@link SuccessionRules} allow it to replace the active version.
     *
     * @return the reason for the refusal, or empty if {@code next} is now active
     */
    public Optional<String> offer(Snapshot next) {
        lock.lock();
        try {
            Snapshot previous = current;
            Optional<String> refusal = SuccessionRules.refusalReason(
                    previous == null ? null : previous.head(), next.head(), next.signed());
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
