package io.anvilpick.load.capacity;

import io.anvilpick.config.ConfigurationException;
import io.anvilpick.membership.MemberTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Finds out in virtual time how long daemons of one region go without a rise of each other's beats, and so what a time
 * after which a member is suspect would cost in false alarms and in time to notice a loss.
 */
final class DetectionModel {
    private static final int WARM_UP_ROUNDS = 20;
    private static final int ROUNDS = 120;
    private static final int ROUNDS_AFTER_LOSS = 40;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final SpreadModel model;
    private final SplittableRandom random;
    private final Map<Pair, Sighting> sightings = new HashMap<>();

    private record Pair(int observer, int member) {}

    /** The latest beat that an observer knows, since when, and the longest time it ever went without a rise. */
    private record Sighting(long beat, long atNanos, long longestNanos) {}

    /**
     * What was seen.
     *
     * @param daemons daemons in the region
     * @param longestSeconds for each pair of daemons, the longest time without a rise
     * @param lossSeconds the time after a loss until the last of its beats had reached everybody
     */
    record Result(int daemons, List<Double> longestSeconds, double lossSeconds) {
        /** Returns the time after which daemons in a region of this size suspect each other. */
        double suspectAfterSeconds() {
            return MemberTable.suspectAfter(daemons).toMillis() / MILLIS_PER_SECOND;
        }

        /** Returns the share of pairs in which one daemon would have suspected the other without need. */
        double falseAlarms(double suspectAfterSeconds) {
            long alarms = longestSeconds.stream()
                    .filter(longest -> longest > suspectAfterSeconds)
                    .count();
            return (double) alarms / longestSeconds.size();
        }
    }

    private DetectionModel(SpreadModel model, long seed) {
        this.model = model;
        this.random = new SplittableRandom(seed);
    }

    /** Runs a region of {@code daemons}, each of which stops once for {@code pauseRounds} rounds of gossip. */
    static Result run(int daemons, int pauseRounds, long seed) throws ConfigurationException {
        DetectionModel detection = new DetectionModel(SpreadModel.settled(daemons, seed), seed);
        return detection.run(pauseRounds);
    }

    private Result run(int pauseRounds) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            model.round();
        }
        observe();
        sightings.replaceAll((pair, sighting) -> new Sighting(sighting.beat(), model.nanos(), 0));
        int[] pauseAt = new int[model.nodes().size()];
        for (int i = 0; i < pauseAt.length; i++) {
            pauseAt[i] = random.nextInt(ROUNDS - pauseRounds);
        }
        for (int round = 0; round < ROUNDS; round++) {
            pauseAndResume(pauseAt, round, pauseRounds);
            model.round();
            observe();
        }
        List<Double> longest = new ArrayList<>();
        sightings.values().forEach(sighting -> longest.add(sighting.longestNanos() / NANOS_PER_SECOND));
        return new Result(model.nodes().size(), longest, loseOne());
    }

    private void pauseAndResume(int[] pauseAt, int round, int pauseRounds) {
        for (int i = 0; i < pauseAt.length; i++) {
            SpreadModel.Node node = model.nodes().get(i);
            if (pauseRounds > 0 && round == pauseAt[i]) {
                model.pause(node);
            }
            if (pauseRounds > 0 && round == pauseAt[i] + pauseRounds) {
                model.resume(node);
            }
        }
    }

    private double loseOne() {
        model.nodes().forEach(model::resume);
        long lostAt = model.nanos();
        model.pause(model.nodes().get(0));
        for (int round = 0; round < ROUNDS_AFTER_LOSS; round++) {
            model.round();
            observe();
        }
        long last = lostAt;
        for (Map.Entry<Pair, Sighting> each : sightings.entrySet()) {
            if (each.getKey().member() == 0) {
                last = Math.max(last, each.getValue().atNanos());
            }
        }
        return (last - lostAt) / NANOS_PER_SECOND;
    }

    private void observe() {
        long now = model.nanos();
        for (int observer = 0; observer < model.nodes().size(); observer++) {
            MemberTable table = model.nodes().get(observer).members();
            for (int member = 0; member < model.nodes().size(); member++) {
                if (member != observer) {
                    String instance = model.nodes().get(member).member().instance();
                    long beat = table.find(instance).orElseThrow().member().beat();
                    sightings.merge(
                            new Pair(observer, member),
                            new Sighting(beat, now, 0),
                            (known, seen) -> later(known, seen.beat(), now));
                }
            }
        }
    }

    private static Sighting later(Sighting known, long beat, long now) {
        long longest = Math.max(known.longestNanos(), now - known.atNanos());
        return beat > known.beat()
                ? new Sighting(beat, now, longest)
                : new Sighting(known.beat(), known.atNanos(), longest);
    }
}
