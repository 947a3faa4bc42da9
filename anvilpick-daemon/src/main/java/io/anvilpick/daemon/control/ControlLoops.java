package io.anvilpick.daemon.control;

import com.google.common.collect.ImmutableList;
import io.anvilpick.claims.ClaimTable;
import io.anvilpick.claims.replication.GroupMover;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.platform.PlatformException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/** Runs the background tasks of a daemon, each on a separate virtual thread that sleeps between steps. */
public final class ControlLoops implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlLoops.class);
    private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(500);
    private static final Duration MOVE_INTERVAL = Duration.ofMillis(500);
    private static final Duration REGISTER_INTERVAL = Duration.ofSeconds(10);
    private static final Duration LIST_VMS_INTERVAL = Duration.ofSeconds(2);
    private static final Duration COUNT_DAEMONS_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REMOVE_EXPIRED_INTERVAL = Duration.ofSeconds(10);
    private static final Duration CHECK_WATCHER_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_PAUSE = Duration.ofMillis(200);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(5);

    private final List<Thread> threads = new ArrayList<>();
    private final RandomGenerator random;
    private final Consumer<String> faultListener;

    /** One execution of a periodic task. */
    @FunctionalInterface
    interface Step {
        void run() throws PlatformException, ConfigurationException, InterruptedException;
    }

    /** A periodic task, with the pause after each execution. */
    record Task(String name, Duration pause, Step step) {}

    /** The components that the loops call. */
    public record Parts(
            DaemonState state,
            Gossip gossip,
            ConfigWatch watch,
            MemberRegistration registration,
            GroupMover mover,
            ClaimTable claims) {}

    private ControlLoops(RandomGenerator random, Consumer<String> faultListener) {
        this.random = random;
        this.faultListener = faultListener;
    }

    /**
     * Starts all loops. {@code random} must be thread safe.
     *
     * @param faultListener receives the name of a loop after each unchecked exception or error in it; must be thread safe
     */
    public static ControlLoops start(Parts parts, RandomGenerator random, Consumer<String> faultListener) {
        return start(tasks(parts), random, faultListener);
    }

    static ControlLoops start(List<Task> tasks, RandomGenerator random, Consumer<String> faultListener) {
        ControlLoops loops = new ControlLoops(random, faultListener);
        tasks.forEach(loops::add);
        return loops;
    }

    static ImmutableList<Task> tasks(Parts parts) {
        return ImmutableList.of(
                new Task(
                        "registration",
                        REGISTER_INTERVAL,
                        () -> parts.registration().refresh()),
                new Task("gossip", GOSSIP_INTERVAL, () -> parts.gossip().round()),
                new Task("configuration", Duration.ZERO, () -> awaitConfiguration(parts.watch())),
                new Task("vms", LIST_VMS_INTERVAL, () -> readVms(parts.watch())),
                new Task("daemons", COUNT_DAEMONS_INTERVAL, () -> parts.state().updateDaemonCount()),
                new Task("mover", MOVE_INTERVAL, () -> move(parts.mover())),
                new Task("forget", REMOVE_EXPIRED_INTERVAL, () -> parts.claims().removeExpired()));
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }

    private static void awaitConfiguration(ConfigWatch watch) throws PlatformException, InterruptedException {
        if (watch.isWatcher()) {
            watch.awaitConfiguration();
            return;
        }
        Thread.sleep(CHECK_WATCHER_INTERVAL);
    }

    private static void readVms(ConfigWatch watch) throws PlatformException {
        if (watch.isWatcher()) {
            watch.readVms();
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

    private void add(Task task) {
        threads.add(Thread.ofVirtual().name(task.name()).start(() -> loop(task.name(), task.pause(), task.step())));
    }

    /**
     * Runs {@code step} until interrupted. An error of any kind does not end the loop. After each failure the pause doubles up to a
     * limit and has random jitter, which keeps the daemons of a fleet from retrying at the same moment.
     */
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
            } catch (RuntimeException | Error e) {
                failures++;
                report(name, failures, e);
                pauseAfterFailure(failures);
            }
        }
    }

    /** Counts and logs an error. If that fails too, as without memory, the loop goes on all the same. */
    private void report(String name, int failures, Throwable error) {
        try {
            faultListener.accept(name);
            LOG.errorf(error, "event=control_step_failed loop=%s failures=%d", name, failures);
        } catch (RuntimeException | Error unreported) {
            if (unreported != error) {
                error.addSuppressed(unreported);
            }
        }
    }

    private void pauseAfterFailure(int failures) {
        long maxMillis = Math.min(MAX_PAUSE.toMillis(), MIN_PAUSE.toMillis() << Math.min(failures, 10));
        try {
            Thread.sleep(maxMillis / 2 + random.nextLong(maxMillis / 2));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
