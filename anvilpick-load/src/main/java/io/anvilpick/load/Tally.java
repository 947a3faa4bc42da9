package io.anvilpick.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.HdrHistogram.Histogram;

/** Results and latencies of one stream. Thread safe under its own lock. */
final class Tally {
    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int DIGITS = 3;

    private final ReentrantLock lock = new ReentrantLock();
    private final Histogram micros = new Histogram(MOST_MICROS, DIGITS);
    private final Map<String, Long> errors = new TreeMap<>();
    private long calls;
    private long answered;
    private long notRun;
    private long unknown;
    private long cut;

    /** A copy of the counts. */
    record Counts(long calls, long answered, long notRun, long unknown, long cut) {
        static final Counts NONE = new Counts(0, 0, 0, 0, 0);

        Counts plus(Counts other) {
            return new Counts(
                    calls + other.calls,
                    answered + other.answered,
                    notRun + other.notRun,
                    unknown + other.unknown,
                    cut + other.cut);
        }
    }

    /** Counts {@code result}; its latency, from when the call was due, counts only where {@code timed}. */
    void add(Result result, long nanos, boolean timed) {
        lock.lock();
        try {
            calls++;
            switch (result) {
                case Result.Answered ignored -> {
                    answered++;
                    if (timed) {
                        micros.recordValue(Math.min(MOST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
                    }
                }
                case Result.NotRun refusal -> {
                    notRun++;
                    errors.merge(refusal.error(), 1L, Long::sum);
                }
                case Result.Unknown refusal -> {
                    unknown++;
                    errors.merge(refusal.error(), 1L, Long::sum);
                }
                case Result.Cut broken -> {
                    cut++;
                    errors.merge(broken.reason(), 1L, Long::sum);
                }
            }
        } finally {
            lock.unlock();
        }
    }

    Counts counts() {
        lock.lock();
        try {
            return new Counts(calls, answered, notRun, unknown, cut);
        } finally {
            lock.unlock();
        }
    }

    Histogram latencies() {
        lock.lock();
        try {
            return micros.copy();
        } finally {
            lock.unlock();
        }
    }

    Map<String, Long> errors() {
        lock.lock();
        try {
            return Map.copyOf(errors);
        } finally {
            lock.unlock();
        }
    }
}
