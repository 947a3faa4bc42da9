package io.anvilpick.time;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/** A time source for virtual time, which advances only by {@link #advance}. Thread safe. */
public final class ManualTimeSource implements TimeSource {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long startMillis;
    private final AtomicLong elapsedNanos = new AtomicLong();

    private ManualTimeSource(long startMillis) {
        this.startMillis = startMillis;
    }

    /** Returns a source whose wall clock starts at {@code startMillis} milliseconds since the Unix epoch. */
    public static ManualTimeSource startingAt(long startMillis) {
        return new ManualTimeSource(startMillis);
    }

    /**
     * Advances both clocks by {@code step}.
     *
     * @throws IllegalArgumentException if {@code step} is negative
     */
    public void advance(Duration step) {
        checkArgument(!step.isNegative(), "step must not be negative: %s", step);
        elapsedNanos.addAndGet(step.toNanos());
    }

    @Override
    public long nanos() {
        return elapsedNanos.get();
    }

    @Override
    public long epochMillis() {
        return startMillis + elapsedNanos.get() / NANOS_PER_MILLI;
    }
}
