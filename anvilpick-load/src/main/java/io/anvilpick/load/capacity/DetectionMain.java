package io.anvilpick.load.capacity;

import io.anvilpick.config.ConfigurationException;

/** Prints the false-alarm rate and the detection time of lost members for several suspicion timeouts. */
public final class DetectionMain {
    private static final int[] DAEMONS = {6, 28, 60};
    private static final int[] PAUSE_ROUNDS = {0, 2, 4, 8};
    private static final double SECONDS_PER_ROUND = 0.5;
    private static final double[] SUSPECT_AFTER_SECONDS = {1, 2, 3, 5, 8};
    private static final int SEED = 1;

    private DetectionMain() {}

    /** Runs the program. */
    public static void main(String[] args) throws ConfigurationException {
        System.out.println("| daemons in the region | each pauses for s | false alarms at 1 s | 2 s | 3 s | 5 s | 8 s"
                + " | as set | loss noticed by all after s |");
        System.out.println("|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
        for (int daemons : DAEMONS) {
            for (int rounds : PAUSE_ROUNDS) {
                DetectionModel.Result result = DetectionModel.run(daemons, rounds, SEED);
                StringBuilder row = new StringBuilder();
                for (double seconds : SUSPECT_AFTER_SECONDS) {
                    row.append(" %.4f |".formatted(result.falseAlarmRate(seconds)));
                }
                System.out.printf(
                        "| %d | %.1f |%s %.1f: %.4f | %.1f |%n",
                        daemons,
                        rounds * SECONDS_PER_ROUND,
                        row,
                        result.suspectAfterSeconds(),
                        result.falseAlarmRate(result.suspectAfterSeconds()),
                        result.suspectAfterSeconds() + result.lastHeartbeatSeconds());
            }
        }
    }
}
