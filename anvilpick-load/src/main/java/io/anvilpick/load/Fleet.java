package io.anvilpick.load;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;

/**
 * Daemons that run one policy.
 *
 * @param name name in the tables
 * @param direct whether callers spread over all daemons without asking which to use
 * @param daemons their addresses
 */
record Fleet(String name, boolean direct, ImmutableList<String> daemons) {
    private static final String DIRECT = "direct";

    /** Returns the fleet that {@code text} stands for: name, ask or direct, and addresses, with semicolons between. */
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
