package io.anvilpick.daemon;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.anvilpick.dispatch.TargetPolicy;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** The command-line program {@code anvilpickd}. */
@Command(
        name = "anvilpickd",
        description = "Runs the load-balancing daemon of an entry VM. "
                + "Each setting can also be given by an environment variable, "
                + "such as --call-port by ANVILPICK_CALL_PORT.")
public final class DaemonMain {
    private static final Logger LOG = Logger.getLogger(DaemonMain.class);
    private static final int DEFAULT_CALL_PORT = 8080;
    private static final int DEFAULT_PEER_PORT = 7080;
    private static final int DEFAULT_DRAIN_MILLIS = 8_000;
    private static final int MAX_DRAIN_MILLIS = 600_000;
    private static final int MAX_HELD_MEGABYTES = 1_000_000;
    private static final long BYTES_PER_MEGABYTE = 1024 * 1024;
    private static final int DEFAULT_WARM_UP_CALLS = 8_000;
    private static final int MAX_WARM_UP_CALLS = 1_000_000;

    @AirlineModule
    private HelpOption<DaemonMain> help;

    @Option(name = "--version", description = "Print the version and exit")
    private boolean version;

    @Option(name = "--host", description = "IP address to listen on (default 127.0.0.1)")
    private @Nullable String host;

    @Option(name = "--call-port", description = "Port for callers (default 8080)")
    private @Nullable String callPort;

    @Option(name = "--peer-port", description = "Port for other daemons; 0 selects a free port (default 7080)")
    private @Nullable String peerPort;

    @Option(
            name = "--advertised-peer",
            description = "host:port at which other daemons reach this daemon (default --host and --peer-port)")
    private @Nullable String advertisedPeer;

    @Option(name = "--region", description = "Region of this VM (required)")
    private @Nullable String region;

    @Option(name = "--zone", description = "Availability zone of this VM (required)")
    private @Nullable String zone;

    @Option(name = "--platform", description = "host:port of the platform's key-value service (required)")
    private @Nullable String platform;

    @Option(
            name = "--seeds",
            description = "Comma-separated host:port addresses of daemons to contact while no running daemon is known")
    private @Nullable String seeds;

    @Option(
            name = "--drain-ms",
            description = "Milliseconds to keep serving after SIGTERM, from 0 to 600000 (default 8000)")
    private @Nullable String drainMillis;

    @Option(
            name = "--held-megabytes",
            description = "Maximum megabytes of bodies held in memory, from 1 to 1000000; "
                    + "calls beyond it are rejected (default a quarter of the heap)")
    private @Nullable String heldMegabytes;

    @Option(
            name = "--warm-up-calls",
            description = "Calls that the daemon makes to itself before it accepts callers, from 0 to 1000000; "
                    + "0 disables the warm-up (default 8000)")
    private @Nullable String warmUpCalls;

    @Option(
            name = "--policy",
            description = "Target selection policy, for benchmarks: "
                    + "random, round-robin, two-choices, least-in-flight or late-binding (default)",
            hidden = true)
    private @Nullable String policy;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        try {
            ExitCode code =
                    SingleCommand.singleCommand(DaemonMain.class).parse(args).run();
            if (code != ExitCode.OK) {
                System.exit(code.code());
            }
        } catch (ParseException e) {
            System.err.println("anvilpickd: " + e.getMessage());
            System.exit(ExitCode.USAGE.code());
        }
    }

    private ExitCode run() throws InterruptedException {
        if (help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        if (version) {
            System.out.println("anvilpickd " + Version.number());
            return ExitCode.OK;
        }
        SettingsReader reader = new SettingsReader(System.getenv());
        DaemonSettings settings = read(reader);
        if (!reader.errors().isEmpty()) {
            reader.errors().forEach(error -> System.err.println("anvilpickd: " + error));
            return ExitCode.USAGE;
        }
        Daemon daemon = Daemon.start(settings);
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(() -> shutDown(daemon)));
        Thread.currentThread().join();
        return ExitCode.OK;
    }

    /**
     * Shuts down and halts the JVM with its exit code. Without the halt, a process that ends by SIGTERM would exit with
     * a code other than zero.
     */
    private static void shutDown(Daemon daemon) {
        try {
            daemon.shutDown();
            Runtime.getRuntime().halt(ExitCode.OK.code());
        } catch (InterruptedException | RuntimeException e) {
            LOG.errorf(e, "event=shutdown_failed");
            Runtime.getRuntime().halt(ExitCode.SOFTWARE.code());
        }
    }

    private DaemonSettings read(SettingsReader reader) {
        return new DaemonSettings(
                reader.text("--host", host, "127.0.0.1"),
                reader.port("--call-port", callPort, DEFAULT_CALL_PORT),
                reader.port("--peer-port", peerPort, DEFAULT_PEER_PORT),
                reader.text("--advertised-peer", advertisedPeer, ""),
                reader.text("--region", region),
                reader.text("--zone", zone),
                reader.address("--platform", platform),
                reader.addresses("--seeds", seeds),
                policyOf(reader.text("--policy", policy, "late-binding")),
                reader.wholeNumber("--drain-ms", drainMillis, 0, MAX_DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS),
                BYTES_PER_MEGABYTE
                        * reader.wholeNumber(
                                "--held-megabytes", heldMegabytes, 1, MAX_HELD_MEGABYTES, defaultHeldMegabytes()),
                reader.wholeNumber("--warm-up-calls", warmUpCalls, 0, MAX_WARM_UP_CALLS, DEFAULT_WARM_UP_CALLS));
    }

    private static int defaultHeldMegabytes() {
        return (int) Math.clamp(Runtime.getRuntime().maxMemory() / BYTES_PER_MEGABYTE / 4, 1, MAX_HELD_MEGABYTES);
    }

    private static TargetPolicy policyOf(String name) {
        return switch (name) {
            case "random" -> new TargetPolicy.UniformRandom();
            case "round-robin" -> new TargetPolicy.RoundRobin();
            case "two-choices" -> new TargetPolicy.TwoChoices();
            case "least-in-flight" -> new TargetPolicy.LeastInFlight();
            default -> new TargetPolicy.LateBinding();
        };
    }
}
