package io.anvilpick.load.capacity;

import io.anvilpick.config.ConfigurationException;

/** Prints how fast a new version of the configuration spreads in regions of several sizes. */
public final class SpreadMain {
    private static final int[] DAEMONS = {6, 60, 200, 600};
    private static final int SEEDS = 2;

    private SpreadMain() {}

    /** Runs the program. */
    public static void main(String[] args) throws ConfigurationException {
        System.out.println("| daemons in the region | worst ms to all | messages a daemon | bytes a daemon"
                + " | idle bytes a second a daemon | false suspects |");
        System.out.println("|---:|---:|---:|---:|---:|---:|");
        for (int daemons : DAEMONS) {
            SpreadModel.Result worst = null;
            for (int seed = 1; seed <= SEEDS; seed++) {
                SpreadModel.Result result = SpreadModel.run(daemons, seed);
                worst = worst == null || result.millis() > worst.millis() ? result : worst;
            }
            System.out.printf(
                    "| %d | %.0f | %.1f | %.0f | %.0f | %.5f |%n",
                    worst.daemons(),
                    worst.millis(),
                    worst.messages(),
                    worst.bytes(),
                    worst.idleBytesPerSecond(),
                    worst.falseSuspects());
        }
    }
}
