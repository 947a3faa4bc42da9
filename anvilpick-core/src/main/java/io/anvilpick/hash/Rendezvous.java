package io.anvilpick.hash;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.function.Function;

/**
 * Rendezvous hashing. All daemons rank the same candidates in the same order for a subject. The loss of a candidate
 * moves only the subjects that were assigned to it.
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private Rendezvous() {}

    /** Returns the weight of {@code candidate} for {@code subject}. */
    public static long weight(String subject, String candidate) {
        return HASH.newHasher()
                .putString(subject, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(candidate, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** Returns {@code candidates} by descending weight for {@code subject}, ties by descending name, in O(n log n). */
    public static <T> ImmutableList<T> ranked(String subject, Collection<T> candidates, Function<T, String> name) {
        record Weighted<T>(long weight, String name, T candidate) {}
        return candidates.stream()
                .map(candidate ->
                        new Weighted<>(weight(subject, name.apply(candidate)), name.apply(candidate), candidate))
                .sorted(Comparator.<Weighted<T>>comparingLong(Weighted::weight)
                        .thenComparing(Weighted::name)
                        .reversed())
                .map(Weighted::candidate)
                .collect(ImmutableList.toImmutableList());
    }
}
