package io.anvilpick.claims.replication;

import io.anvilpick.claims.ClaimMap;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.WriteResult;
import java.util.Optional;

/** Reads and writes a region's claim map in the platform. Thread safe. */
public final class ClaimMapStore {
    private final Platform platform;
    private final ConfigurationCodec codec;
    private final String key;

    /** A claim map and its revision in the platform. An absent map is the empty map at revision zero. */
    public record Stored(ClaimMap map, long revision) {}

    /** Creates a store for the map of {@code region}. */
    public ClaimMapStore(Platform platform, ConfigurationCodec codec, String region) {
        this.platform = platform;
        this.codec = codec;
        this.key = "claims/" + region + "/map";
    }

    /** Returns the map that the platform holds. */
    public Stored load() throws PlatformException, ConfigurationException {
        Optional<Entry> entry = platform.read(key);
        if (entry.isEmpty()) {
            return new Stored(ClaimMap.EMPTY, Platform.ABSENT);
        }
        return new Stored(
                codec.decode(key, entry.get().value(), ClaimMap.class),
                entry.get().revision());
    }

    /** Writes {@code map} and returns it as stored; empty if the stored map is no longer at {@code revision}. */
    public Optional<Stored> replace(long revision, ClaimMap map) throws PlatformException {
        WriteResult result = platform.compareAndSet(key, revision, codec.encode(map), Platform.NO_LEASE);
        return result instanceof WriteResult.Written written
                ? Optional.of(new Stored(map, written.revision()))
                : Optional.empty();
    }
}
