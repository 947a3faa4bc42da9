package io.anvilpick.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.HdrHistogram.Histogram;

/** Counts the results and records the latencies of one stream. Thread safe; guarded by its own lock. */
final class Tally {
    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ReentrantLock lock = new ReentrantLock();
    private final Histogram micros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, Long> errors = new TreeMap<>();
    private long calls;
    private long answered;
    private long notRun;
    private long unknown;
    private long cut;

    /** Snapshot of the numbers of calls by result. */
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

    /**
     * Counts {@code result}.
     *
     * @param nanos latency since the scheduled start of the call
     * @param recordLatency whether to record the latency of an answered call
     */
    void add(Result result, long nanos, boolean recordLatency) {
        lock.lock();
        try {
            calls++;
            switch (result) {
                case Result.Answered ignored -> {
                    answered++;
                    if (recordLatency) {
                        micros.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
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
                case Result.Cut cutCall -> {
                    cut++;
                    errors.merge(cutCall.reason(), 1L, Long::sum);
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
