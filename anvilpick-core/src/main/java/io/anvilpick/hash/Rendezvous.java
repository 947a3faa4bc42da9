package io.anvilpick.hash;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.function.Function;

/** Rendezvous hashing: every node ranks the same candidates alike, and losing one moves only what it held. */
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

    /** Returns {@code candidates} from the heaviest to the lightest for {@code subject}, in O(n log n). */
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
