package io.anvilpick.allowances;

import java.util.ArrayDeque;

/** The tokens of a tenant that a daemon holds, and how many it has used recently. Not thread safe. */
final class TokenStock {
    /** Time for which granted tokens are valid, from the request for them. */
    static final long VALIDITY_NANOS = 300_000_000L;

    private final ArrayDeque<Lot> lots = new ArrayDeque<>();
    private final ArrayDeque<Long> uses = new ArrayDeque<>();

    private record Lot(int tokens, long expiresNanos) {}

    /** Adds {@code tokens} that expire at {@code expiresNanos}. */
    void add(int tokens, long expiresNanos, long nowNanos) {
        if (tokens > 0 && expiresNanos - nowNanos > 0) {
            lots.addLast(new Lot(tokens, expiresNanos));
        }
    }

    /** Takes one token. Returns the time at which it expires, or {@code nowNanos} if there is none. */
    long take(long nowNanos) {
        dropExpired(nowNanos);
        Lot lot = lots.pollFirst();
        if (lot == null) {
            return nowNanos;
        }
        if (lot.tokens() > 1) {
            lots.addFirst(new Lot(lot.tokens() - 1, lot.expiresNanos()));
        }
        uses.addLast(nowNanos);
        return lot.expiresNanos();
    }

    /**
     * Returns the number of tokens that will be used with high probability before they expire: the recent uses, less two standard
     * deviations of a random arrival. More would mostly expire when the load is spread over many daemons.
     */
    int expectedUses(long nowNanos) {
        while (!uses.isEmpty() && nowNanos - uses.getFirst() > VALIDITY_NANOS) {
            uses.removeFirst();
        }
        int recent = uses.size();
        return (int) Math.max(0, Math.floor(recent - 2 * Math.sqrt(recent)));
    }

    private void dropExpired(long nowNanos) {
        lots.removeIf(lot -> lot.expiresNanos() - nowNanos <= 0);
    }
}
