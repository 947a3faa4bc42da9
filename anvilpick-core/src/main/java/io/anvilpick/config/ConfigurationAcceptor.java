package io.anvilpick.config;

import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.WriteResult;
import io.anvilpick.time.TimeSource;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Stores a new version of the configuration in the platform with one compare-and-swap. Thread safe. */
public final class ConfigurationAcceptor {
    private static final int READ_BACK_ATTEMPTS = 5;

    private final ConfigurationStore store;
    private final ConfigurationCodec codec;
    private final TimeSource time;

    /**
     * A change to be accepted.
     *
     * @param configuration the complete new configuration
     * @param expectedVersion the version that the operator saw, or zero if none was stored
     * @param changeId random identifier of the change, which stays the same when the change is retried
     * @param privateKey the operator's private key, in Base64
     */
    public record Change(Configuration configuration, long expectedVersion, String changeId, String privateKey) {
        /** Returns a text without the private key. */
        @Override
        public String toString() {
            return "Change[expectedVersion=" + expectedVersion + ", changeId=" + changeId + "]";
        }
    }

    /** Creates an acceptor that writes to {@code store}. */
    public ConfigurationAcceptor(ConfigurationStore store, ConfigurationCodec codec, TimeSource time) {
        this.store = store;
        this.codec = codec;
        this.time = time;
    }

    /**
     * Accepts {@code change} if the platform still holds the version that the operator saw. A change that was accepted
     * by an earlier attempt is reported as accepted and not written again.
     *
     * @throws PlatformException if the platform failed before the write of the head was sent
     * @throws ConfigurationException if the stored configuration cannot be fetched or used before the write of the
     *     head was sent, or if the private key cannot be used
     */
    public AcceptResult accept(Change change) throws PlatformException, ConfigurationException {
        Optional<ConfigurationStore.Stored> stored = store.load(null);
        Snapshot current = stored.map(ConfigurationStore.Stored::snapshot).orElse(null);
        Optional<AcceptResult> earlier = existingOutcome(change, current);
        if (earlier.isPresent()) {
            return earlier.get() instanceof AcceptResult.Stale stale ? resolveStale(change, stale) : earlier.get();
        }
        Snapshot.Parts parts = Snapshot.split(codec, change.configuration().services());
        Head head = newHead(change, parts);
        String text = codec.encode(head);
        SignedHead signed = new SignedHead(text, Signatures.sign(change.privateKey(), text));
        Optional<String> refusal = SuccessionRules.refusalReason(current == null ? null : current.head(), head, signed);
        if (refusal.isPresent()) {
            return new AcceptResult.Refused(refusal.get());
        }
        store.writeParts(
                parts.texts(), current == null ? Set.of() : current.parts().keySet());
        if (current != null) {
            store.writeHistory(current.head().version(), current.signed());
        }
        long revision = stored.map(ConfigurationStore.Stored::revision).orElse(0L);
        return writeHead(change, signed, revision);
    }

    private Optional<AcceptResult> existingOutcome(Change change, @Nullable Snapshot current) {
        if (current == null) {
            return Optional.empty();
        }
        Head head = current.head();
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

    private AcceptResult writeHead(Change change, SignedHead signed, long revision) {
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

    /** Reads the stored head to find out whether a write took effect or another change was accepted first. */
    private AcceptResult readBack(Change change) {
        String reason = "";
        for (int attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
            try {
                Snapshot current = store.load(null)
                        .map(ConfigurationStore.Stored::snapshot)
                        .orElse(null);
                Optional<AcceptResult> outcome = existingOutcome(change, current);
                if (outcome.isPresent()) {
                    return outcome.get() instanceof AcceptResult.Stale stale
                            ? resolveStale(change, stale)
                            : outcome.get();
                }
                reason = "the write is not visible yet and may still take effect";
            } catch (PlatformException | ConfigurationException e) {
                reason = e.getMessage();
            }
        }
        return new AcceptResult.Unknown(reason);
    }

    /**
     * Distinguishes a change that was not accepted from one that was accepted and has since been replaced.
     *
     * <p>Every writer records the current head in the history before it replaces that head. The history therefore holds
     * every version that has been replaced.
     */
    private AcceptResult resolveStale(Change change, AcceptResult.Stale stale)
            throws PlatformException, ConfigurationException {
        long version = change.expectedVersion() + 1;
        if (stale.winner().version() <= version) {
            return stale;
        }
        boolean accepted = store.historyOf(version)
                .filter(head -> head.changeId().equals(change.changeId()))
                .isPresent();
        return accepted ? new AcceptResult.Accepted(version) : stale;
    }
}
