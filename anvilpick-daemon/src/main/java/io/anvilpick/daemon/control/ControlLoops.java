package io.anvilpick.daemon.control;

import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.replication.GroupMover;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/** Runs what a daemon does in the background, each task on a thread of its own that sleeps between steps. */
public final class ControlLoops implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlLoops.class);
    private static final Duration GOSSIP_EVERY = Duration.ofMillis(500);
    private static final Duration MOVE_EVERY = Duration.ofMillis(500);
    private static final Duration REGISTER_EVERY = Duration.ofSeconds(10);
    private static final Duration LIST_VMS_EVERY = Duration.ofSeconds(2);
    private static final Duration COUNT_DAEMONS_EVERY = Duration.ofSeconds(1);
    private static final Duration FORGET_EVERY = Duration.ofSeconds(10);
    private static final Duration CHECK_WATCHER_EVERY = Duration.ofSeconds(1);
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(5);

    private final List<Thread> threads = new ArrayList<>();
    private final RandomGenerator random;

    /** Something done again and again. */
    @FunctionalInterface
    private interface Step {
        void run() throws PlatformException, ConfigurationException, InterruptedException;
    }

    /** What the loops drive. */
    public record Parts(
            DaemonState state,
            Gossip gossip,
            ConfigWatch watch,
            Registration registration,
            GroupMover mover,
            ClaimTable claims) {}

    private ControlLoops(RandomGenerator random) {
        this.random = random;
    }

    /** Starts all loops; {@code random} must be thread safe. */
    public static ControlLoops start(Parts parts, RandomGenerator random) {
        ControlLoops loops = new ControlLoops(random);
        loops.add("registration", REGISTER_EVERY, parts.registration()::step);
        loops.add("gossip", GOSSIP_EVERY, parts.gossip()::round);
        loops.add("configuration", Duration.ZERO, () -> followConfiguration(parts.watch()));
        loops.add("vms", LIST_VMS_EVERY, () -> followVms(parts.watch()));
        loops.add("daemons", COUNT_DAEMONS_EVERY, parts.state()::updateDaemonCount);
        loops.add("mover", MOVE_EVERY, () -> move(parts.mover()));
        loops.add("forget", FORGET_EVERY, () -> parts.claims().removeExpired());
        return loops;
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }

    private static void followConfiguration(ConfigWatch watch) throws PlatformException, InterruptedException {
        if (watch.isWatcher()) {
            watch.followConfiguration();
            return;
        }
        Thread.sleep(CHECK_WATCHER_EVERY);
    }

    private static void followVms(ConfigWatch watch) throws PlatformException {
        if (watch.isWatcher()) {
            watch.followVms();
        }
    }

    private static void move(GroupMover mover) throws PlatformException, ConfigurationException, InterruptedException {
        GroupMover.Step step = mover.step();
        if (!step.isIdle()) {
            LOG.infof(
                    "event=claims_moved moved=%d restarted=%d waiting=%d version=%d",
                    step.moved(), step.restarted(), step.waiting(), step.version());
        }
    }

    private void add(String name, Duration pause, Step step) {
        threads.add(Thread.ofVirtual().name(name).start(() -> loop(name, pause, step)));
    }

    /** After failures the pause doubles and is drawn at random, so that a fleet does not come back all at once. */
    private void loop(String name, Duration pause, Step step) {
        int failures = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                step.run();
                failures = 0;
                Thread.sleep(pause);
            } catch (PlatformException | ConfigurationException e) {
                failures++;
                LOG.warnf(
                        "event=control_step_failed loop=%s failures=%d reason=\"%s\"", name, failures, e.getMessage());
                pauseAfterFailure(failures);
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                failures++;
                LOG.errorf(e, "event=control_step_failed loop=%s failures=%d", name, failures);
                pauseAfterFailure(failures);
            }
        }
    }

    private void pauseAfterFailure(int failures) {
        long most = Math.min(LONGEST_PAUSE.toMillis(), SHORTEST_PAUSE.toMillis() << Math.min(failures, 10));
        try {
            Thread.sleep(most / 2 + random.nextLong(most / 2));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
