package io.anvilpick.load;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Daemons that use the same balancing policy.
 *
 * @param name name of the fleet in the tables
 * @param direct whether callers choose daemons at random instead of querying a daemon for the address
 * @param daemons addresses of the daemons
 */
record Fleet(String name, boolean direct, ImmutableList<String> daemons) {
    private static final String DIRECT = "direct";

    /**
     * Parses a fleet from {@code NAME;ask|direct;ADDRESSES}. Any mode other than {@code direct} counts as {@code ask}.
     * Returns empty if the text does not have three fields or has no addresses.
     */
    static Optional<Fleet> parse(String text) {
        List<String> fields = List.of(text.split(";", -1));
        if (fields.size() != 3 || fields.get(2).isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Fleet(
                fields.get(0),
                fields.get(1).equals(DIRECT),
                ImmutableList.copyOf(fields.get(2).split(",", -1))));
    }
}
