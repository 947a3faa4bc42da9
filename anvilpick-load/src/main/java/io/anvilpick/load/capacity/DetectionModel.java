package io.anvilpick.load.capacity;

import io.anvilpick.config.ConfigurationException;
import io.anvilpick.membership.MemberTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates in virtual time how long the daemons of one region go without a new heartbeat of each other. From this follow
 * the false-alarm rate of a suspicion timeout and the time to detect a lost daemon.
 */
final class DetectionModel {
    private static final int WARM_UP_ROUNDS = 20;
    private static final int ROUNDS = 120;
    private static final int ROUNDS_AFTER_LOSS = 40;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final SpreadModel model;
    private final SplittableRandom random;
    private final Map<MemberPair, HeartbeatObservation> observations = new HashMap<>();

    private record MemberPair(int observer, int member) {}

    /**
     * What an observer has received from a member.
     *
     * @param beat highest heartbeat received
     * @param atNanos time at which it was received
     * @param maxGapNanos longest time without an increase of the heartbeat, up to the latest check
     */
    private record HeartbeatObservation(long beat, long atNanos, long maxGapNanos) {}

    /**
     * Measured gaps between heartbeats.
     *
     * @param daemons daemons in the region
     * @param maxGapSeconds longest time without a new heartbeat, for each pair of daemons
     * @param lastHeartbeatSeconds time after the loss of a daemon until its last heartbeat had reached all others
     */
    record Result(int daemons, List<Double> maxGapSeconds, double lastHeartbeatSeconds) {
        /** Returns the suspicion timeout that daemons use in a region of this size. */
        double suspectAfterSeconds() {
            return MemberTable.suspectAfter(daemons).toMillis() / MILLIS_PER_SECOND;
        }

        /** Returns the share of pairs in which one daemon would have suspected the other although it was not lost. */
        double falseAlarmRate(double suspectAfterSeconds) {
            long alarms = maxGapSeconds.stream()
                    .filter(maxGap -> maxGap > suspectAfterSeconds)
                    .count();
            return (double) alarms / maxGapSeconds.size();
        }
    }

    private DetectionModel(SpreadModel model, long seed) {
        this.model = model;
        this.random = new SplittableRandom(seed);
    }

    /** Simulates a region of {@code daemons}, each of which pauses once for {@code pauseRounds} gossip rounds. */
    static Result run(int daemons, int pauseRounds, long seed) throws ConfigurationException {
        DetectionModel detection = new DetectionModel(SpreadModel.settled(daemons, seed), seed);
        return detection.run(pauseRounds);
    }

    private Result run(int pauseRounds) {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            model.round();
        }
        recordHeartbeats();
        observations.replaceAll((pair, observation) -> new HeartbeatObservation(observation.beat(), model.nanos(), 0));
        int[] pauseStarts = new int[model.nodes().size()];
        for (int i = 0; i < pauseStarts.length; i++) {
            pauseStarts[i] = random.nextInt(ROUNDS - pauseRounds);
        }
        for (int round = 0; round < ROUNDS; round++) {
            pauseAndResume(pauseStarts, round, pauseRounds);
            model.round();
            recordHeartbeats();
        }
        List<Double> maxGapSeconds = new ArrayList<>();
        observations.values().forEach(observation -> maxGapSeconds.add(observation.maxGapNanos() / NANOS_PER_SECOND));
        return new Result(model.nodes().size(), maxGapSeconds, measureLoss());
    }

    private void pauseAndResume(int[] pauseStarts, int round, int pauseRounds) {
        for (int i = 0; i < pauseStarts.length; i++) {
            SpreadModel.Node node = model.nodes().get(i);
            if (pauseRounds > 0 && round == pauseStarts[i]) {
                model.pause(node);
            }
            if (pauseRounds > 0 && round == pauseStarts[i] + pauseRounds) {
                model.resume(node);
            }
        }
    }

    private double measureLoss() {
        model.nodes().forEach(model::resume);
        long lostAtNanos = model.nanos();
        model.pause(model.nodes().get(0));
        for (int round = 0; round < ROUNDS_AFTER_LOSS; round++) {
            model.round();
            recordHeartbeats();
        }
        long lastNanos = lostAtNanos;
        for (Map.Entry<MemberPair, HeartbeatObservation> each : observations.entrySet()) {
            if (each.getKey().member() == 0) {
                lastNanos = Math.max(lastNanos, each.getValue().atNanos());
            }
        }
        return (lastNanos - lostAtNanos) / NANOS_PER_SECOND;
    }

    private void recordHeartbeats() {
        long now = model.nanos();
        for (int observer = 0; observer < model.nodes().size(); observer++) {
            MemberTable table = model.nodes().get(observer).members();
            for (int member = 0; member < model.nodes().size(); member++) {
                if (member != observer) {
                    String instance = model.nodes().get(member).member().instance();
                    long beat = table.find(instance).orElseThrow().member().beat();
                    observations.merge(
                            new MemberPair(observer, member),
                            new HeartbeatObservation(beat, now, 0),
                            (previous, received) -> update(previous, received.beat(), now));
                }
            }
        }
    }

    private static HeartbeatObservation update(HeartbeatObservation previous, long beat, long now) {
        long maxGap = Math.max(previous.maxGapNanos(), now - previous.atNanos());
        return beat > previous.beat()
                ? new HeartbeatObservation(beat, now, maxGap)
                : new HeartbeatObservation(previous.beat(), previous.atNanos(), maxGap);
    }
}
