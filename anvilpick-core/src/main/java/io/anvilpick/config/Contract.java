package io.anvilpick.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * The contract under which an operator runs the services for a fixed term.
 *
 * @param operator operator that may accept configurations
 * @param term name of the term, such as a season
 * @param epoch number that rises by one with each handover
 * @param endsAtMillis end of the term in milliseconds since the Unix epoch
 * @param next operator that may accept configurations after the end of the term, if known
 */
public record Contract(Operator operator, String term, long epoch, long endsAtMillis, Optional<Operator> next) {
    public Contract {
        checkArgument(epoch > 0, "epoch must be positive: %s", epoch);
    }

    /** Returns whether the term has ended at {@code epochMillis}, in milliseconds since the Unix epoch. */
    public boolean hasEnded(long epochMillis) {
        return epochMillis >= endsAtMillis;
    }
}
