package io.anvilpick.config;

import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.Vm;
import io.anvilpick.platform.WriteResult;
import io.anvilpick.time.Deadline;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;

/** An in-memory platform with failures that are drawn from a seeded generator. Thread safe. */
public final class FakePlatform implements Platform {
    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final SplittableRandom random;
    private final List<String> headsWritten = new ArrayList<>();
    private int lostAnswersPercent;
    private int refusedPercent;
    private long lastRevision;
    private boolean unavailable;
    private Optional<String> headStoredInstead = Optional.empty();

    /** Creates an empty platform. */
    public FakePlatform(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Sets the percentage of writes that take effect but whose answer is lost, and of calls that are refused. */
    public void injectFaults(int lostAnswers, int refused) {
        lostAnswersPercent = lostAnswers;
        refusedPercent = refused;
    }

    /** Sets whether every call is refused. */
    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    /** Makes the next write of the head lose its answer, and stores {@code stored} in its place. */
    public void failNextHeadWrite(String stored) {
        headStoredInstead = Optional.of(stored);
    }

    /** Stores a value regardless of the current revision. */
    public void put(String key, String value) {
        entries.put(key, new Entry(key, value, ++lastRevision));
    }

    /** Returns every value written to the head key, in order. */
    public List<String> headsWritten() {
        return List.copyOf(headsWritten);
    }

    @Override
    public Optional<Entry> read(String key) throws PlatformException {
        lock.lock();
        try {
            refuseIfConfigured();
            return Optional.ofNullable(entries.get(key));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public List<Entry> list(String prefix) throws PlatformException {
        lock.lock();
        try {
            refuseIfConfigured();
            return entries.tailMap(prefix).values().stream()
                    .takeWhile(entry -> entry.key().startsWith(prefix))
                    .toList();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Optional<Entry> awaitChange(String key, long afterRevision, Deadline deadline) throws PlatformException {
        return read(key).filter(entry -> entry.revision() > afterRevision);
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedRevision, String value, long lease)
            throws PlatformException {
        lock.lock();
        try {
            refuseIfConfigured();
            Entry present = entries.get(key);
            long revision = present == null ? ABSENT : present.revision();
            if (revision != expectedRevision) {
                return new WriteResult.Conflict(revision);
            }
            if (key.equals(ConfigurationStore.HEAD_KEY) && headStoredInstead.isPresent()) {
                put(key, headStoredInstead.get());
                headStoredInstead = Optional.empty();
                throw new PlatformException(PlatformException.Effect.UNKNOWN, "answer lost");
            }
            entries.put(key, new Entry(key, value, ++lastRevision));
            if (key.equals(ConfigurationStore.HEAD_KEY)) {
                headsWritten.add(value);
            }
            if (random.nextInt(100) < lostAnswersPercent) {
                throw new PlatformException(PlatformException.Effect.UNKNOWN, "answer lost");
            }
            return new WriteResult.Written(lastRevision);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public long grantLease(long ttlMillis) throws PlatformException {
        refuseIfConfigured();
        return 1;
    }

    @Override
    public boolean renewLease(long lease) throws PlatformException {
        refuseIfConfigured();
        return true;
    }

    @Override
    public List<Vm> vms() throws PlatformException {
        refuseIfConfigured();
        return List.of();
    }

    private void refuseIfConfigured() throws PlatformException {
        if (unavailable || random.nextInt(100) < refusedPercent) {
            throw new PlatformException(PlatformException.Effect.NONE, "refused");
        }
    }
}
