package io.anvilpick.config;

import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.WriteResult;
import io.anvilpick.time.TimeSource;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Accepts a configuration into the platform by one compare-and-swap. Thread safe. */
public final class ConfigurationAcceptor {
    private static final int READ_BACK_ATTEMPTS = 5;

    private final ConfigurationStore store;
    private final ConfigurationCodec codec;
    private final TimeSource time;

    /**
     * A change to be accepted.
     *
     * @param configuration the whole configuration wanted
     * @param expectedVersion the version that the operator saw; zero where none is in force
     * @param changeId random name of the change, kept when the same change is tried again
     * @param privateKey the operator's private key
     */
    public record Change(Configuration configuration, long expectedVersion, String changeId, String privateKey) {}

    /** Creates an acceptor that writes to {@code store}. */
    public ConfigurationAcceptor(ConfigurationStore store, ConfigurationCodec codec, TimeSource time) {
        this.store = store;
        this.codec = codec;
        this.time = time;
    }

    /**
     * Accepts {@code change} if the platform still holds the version that the operator saw.
     *
     * @throws PlatformException if the platform failed before the decisive write was sent
     * @throws ConfigurationException if the stored configuration or the private key cannot be used
     */
    public AcceptResult accept(Change change) throws PlatformException, ConfigurationException {
        Optional<ConfigurationStore.Stored> stored = store.load(null);
        Snapshot present = stored.map(ConfigurationStore.Stored::snapshot).orElse(null);
        Optional<AcceptResult> earlier = outcomeSoFar(change, present);
        if (earlier.isPresent()) {
            return earlier.get() instanceof AcceptResult.Stale stale ? resolveStale(change, stale) : earlier.get();
        }
        Snapshot.Parts parts = Snapshot.split(codec, change.configuration().services());
        Head head = newHead(change, parts);
        String text = codec.encode(head);
        SignedHead signed = new SignedHead(text, Signatures.sign(change.privateKey(), text));
        Optional<String> refusal = SuccessionRules.refusalReason(present == null ? null : present.head(), head, signed);
        if (refusal.isPresent()) {
            return new AcceptResult.Refused(refusal.get());
        }
        store.writeParts(
                parts.texts(), present == null ? Set.of() : present.parts().keySet());
        if (present != null) {
            store.writeHistory(present.head().version(), present.signed());
        }
        long revision = stored.map(ConfigurationStore.Stored::revision).orElse(0L);
        return writeHead(change, signed, revision);
    }

    private Optional<AcceptResult> outcomeSoFar(Change change, @Nullable Snapshot present) {
        if (present == null) {
            return Optional.empty();
        }
        Head head = present.head();
        if (head.changeId().equals(change.changeId())) {
            return Optional.of(new AcceptResult.Accepted(head.version()));
        }
        if (head.version() != change.expectedVersion()) {
            return Optional.of(new AcceptResult.Stale(head));
        }
        return Optional.empty();
    }

    private Head newHead(Change change, Snapshot.Parts parts) {
        Configuration configuration = change.configuration();
        return new Head(
                change.expectedVersion() + 1,
                change.changeId(),
                configuration.contract().operator().name(),
                time.epochMillis(),
                configuration.contract(),
                configuration.tenants(),
                parts.buckets());
    }

    private AcceptResult writeHead(Change change, SignedHead signed, long revision) throws ConfigurationException {
        try {
            WriteResult written = store.writeHead(signed, revision);
            return switch (written) {
                case WriteResult.Written ignored -> new AcceptResult.Accepted(change.expectedVersion() + 1);
                case WriteResult.Conflict ignored -> readBack(change);
            };
        } catch (PlatformException e) {
            return readBack(change);
        }
    }

    /** Finds out what became of a write without an answer, or who won. */
    private AcceptResult readBack(Change change) throws ConfigurationException {
        String reason = "";
        for (int attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
            try {
                Snapshot present = store.load(null)
                        .map(ConfigurationStore.Stored::snapshot)
                        .orElse(null);
                Optional<AcceptResult> outcome = outcomeSoFar(change, present);
                if (outcome.isPresent()) {
                    return outcome.get() instanceof AcceptResult.Stale stale
                            ? resolveStale(change, stale)
                            : outcome.get();
                }
                reason = "the write is not visible yet and may still land";
            } catch (PlatformException e) {
                reason = e.getMessage();
            }
        }
        return new AcceptResult.Unknown(reason);
    }

    /**
     * Tells a change that lost from one that landed and was followed by others.
     *
     * <p>Every writer records its predecessor in the history before it writes the head, so the record is there.
     */
    private AcceptResult resolveStale(Change change, AcceptResult.Stale stale)
            throws PlatformException, ConfigurationException {
        long version = change.expectedVersion() + 1;
        if (stale.winner().version() <= version) {
            return stale;
        }
        boolean landed = store.historyOf(version)
                .filter(head -> head.changeId().equals(change.changeId()))
                .isPresent();
        return landed ? new AcceptResult.Accepted(version) : stale;
    }
}
