package io.anvilpick.config;

import com.google.common.collect.ImmutableMap;
import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.WriteResult;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes the configuration in the platform. Thread safe.
 *
 * <p>Parts are written before the head that names them, and never change. A reader of a head therefore finds all its
 * parts. The head is the only key whose value is replaced, by a compare-and-swap on its revision. This single write
 * makes a version visible.
 */
public final class ConfigurationStore {
    /** Key of the head. */
    public static final String HEAD_KEY = "config/head";

    private static final String PART_PREFIX = "config/part/";
    private static final String HISTORY_PREFIX = "config/history/";
    private static final int MAX_ATTEMPTS = 10;

    private final Platform platform;
    private final ConfigurationCodec codec;
    private final SnapshotAssembler assembler;

    /** A version and the revision of its head in the platform. */
    public record Stored(Snapshot snapshot, long revision) {}

    /** Creates a store that uses {@code platform}. */
    public ConfigurationStore(Platform platform, ConfigurationCodec codec) {
        this.platform = platform;
        this.codec = codec;
        this.assembler = new SnapshotAssembler(codec);
    }

    /**
     * Returns the version that the platform holds, if any.
     *
     * @param previous a version whose parts need not be read again, or null
     * @throws PlatformException if the head cannot be read
     * @throws ConfigurationException if the version cannot be used, or one of its parts cannot be read
     */
    public Optional<Stored> load(@Nullable Snapshot previous) throws PlatformException, ConfigurationException {
        Optional<Entry> entry = platform.read(HEAD_KEY);
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(assemble(entry.get(), previous));
    }

    /**
     * Returns the version whose head is {@code entry}.
     *
     * @param previous a version whose parts need not be read again, or null
     * @throws ConfigurationException if the version cannot be used, or one of its parts cannot be read
     */
    public Stored assemble(Entry entry, @Nullable Snapshot previous) throws ConfigurationException {
        SignedHead signed = codec.decode("signed head", entry.value(), SignedHead.class);
        return new Stored(assembler.assemble(signed, previous, this::fetch), entry.revision());
    }

    /**
     * Writes the parts that the platform does not hold yet; safe to repeat.
     *
     * @param alreadyStored digests of parts that the platform already holds
     */
    public void writeParts(ImmutableMap<String, String> parts, Set<String> alreadyStored) throws PlatformException {
        for (var part : parts.entrySet()) {
            if (alreadyStored.contains(part.getKey())) {
                continue;
            }
            create(PART_PREFIX + part.getKey(), part.getValue());
        }
    }

    /** Writes the head if its revision in the platform is still {@code expectedRevision}. */
    public WriteResult writeHead(SignedHead signed, long expectedRevision) throws PlatformException {
        return platform.compareAndSet(HEAD_KEY, expectedRevision, codec.encode(signed), Platform.NO_LEASE);
    }

    /** Records an accepted head in the history; safe to repeat. */
    public void writeHistory(long version, SignedHead signed) throws PlatformException {
        create(historyKey(version), codec.encode(signed));
    }

    /** Returns the head that the history holds for {@code version}, if any. */
    public Optional<Head> historyOf(long version) throws PlatformException, ConfigurationException {
        Optional<Entry> entry = platform.read(historyKey(version));
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        String partName = "history of version " + version;
        SignedHead signed = codec.decode(partName, entry.get().value(), SignedHead.class);
        return Optional.of(codec.decode(partName, signed.head(), Head.class));
    }

    /** Writes a key whose value never changes. Retries a write whose answer was lost, which is safe for such a key. */
    private void create(String key, String value) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                platform.compareAndSet(key, Platform.ABSENT, value, Platform.NO_LEASE);
                return;
            } catch (PlatformException e) {
                if (e.effect() == PlatformException.Effect.NONE || attempt == MAX_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private static String historyKey(long version) {
        return HISTORY_PREFIX + version;
    }

    private ImmutableMap<String, String> fetch(Set<String> digests) throws ConfigurationException {
        ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
        for (String digest : digests) {
            try {
                platform.read(PART_PREFIX + digest).ifPresent(entry -> texts.put(digest, entry.value()));
            } catch (PlatformException e) {
                throw new ConfigurationException("part " + digest + ": " + e.getMessage());
            }
        }
        return texts.buildOrThrow();
    }
}
