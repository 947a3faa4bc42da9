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
 * The configuration as kept in the platform. Thread safe.
 *
 * <p>Parts are written before the head and never changed, so that a reader of a head finds all it names. The head is the
 * only key written by compare-and-swap on a revision; that one write makes a version visible.
 */
public final class ConfigurationStore {
    /** Key of the head. */
    public static final String HEAD_KEY = "config/head";

    private static final String PART_PREFIX = "config/part/";
    private static final String HISTORY_PREFIX = "config/history/";
    private static final int MOST_ATTEMPTS = 10;

    private final Platform platform;
    private final ConfigurationCodec codec;
    private final SnapshotAssembler assembler;

    /** A version together with the platform's revision of its head. */
    public record Stored(Snapshot snapshot, long revision) {}

    /** Creates a store on {@code platform}. */
    public ConfigurationStore(Platform platform, ConfigurationCodec codec) {
        this.platform = platform;
        this.codec = codec;
        this.assembler = new SnapshotAssembler(codec);
    }

    /**
     * Returns the version that the platform holds, if any.
     *
     * @param previous a version whose parts need not be read again, or null
     */
    public Optional<Stored> load(@Nullable Snapshot previous) throws PlatformException, ConfigurationException {
        Optional<Entry> entry = platform.read(HEAD_KEY);
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(assemble(entry.get(), previous));
    }

    /** Returns the version whose head is {@code entry}. */
    public Stored assemble(Entry entry, @Nullable Snapshot previous) throws ConfigurationException {
        SignedHead signed = codec.decode("signed head", entry.value(), SignedHead.class);
        return new Stored(assembler.assemble(signed, previous, this::fetch), entry.revision());
    }

    /** Writes those of {@code parts} that the platform lacks; safe to repeat. */
    public void writeParts(ImmutableMap<String, String> parts, Set<String> alreadyStored) throws PlatformException {
        for (var part : parts.entrySet()) {
            if (alreadyStored.contains(part.getKey())) {
                continue;
            }
            create(PART_PREFIX + part.getKey(), part.getValue());
        }
    }

    /** Writes the head if the platform's is still at {@code expectedRevision}. */
    public WriteResult writeHead(SignedHead signed, long expectedRevision) throws PlatformException {
        return platform.compareAndSet(HEAD_KEY, expectedRevision, codec.encode(signed), Platform.NO_LEASE);
    }

    /** Records a head that is known to have landed in the history; safe to repeat. */
    public void writeHistory(long version, SignedHead signed) throws PlatformException {
        create(historyKey(version), codec.encode(signed));
    }

    /** Returns the head recorded for {@code version}, if any. */
    public Optional<Head> historyOf(long version) throws PlatformException, ConfigurationException {
        Optional<Entry> entry = platform.read(historyKey(version));
        if (entry.isEmpty()) {
            return Optional.empty();
        }
        String what = "history of version " + version;
        SignedHead signed = codec.decode(what, entry.get().value(), SignedHead.class);
        return Optional.of(codec.decode(what, signed.head(), Head.class));
    }

    /** Writes a key that never changes; since that is safe to repeat, a write whose answer got lost is sent again. */
    private void create(String key, String value) throws PlatformException {
        for (int attempt = 1; ; attempt++) {
            try {
                platform.compareAndSet(key, Platform.ABSENT, value, Platform.NO_LEASE);
                return;
            } catch (PlatformException e) {
                if (e.effect() == PlatformException.Effect.NONE || attempt == MOST_ATTEMPTS) {
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
