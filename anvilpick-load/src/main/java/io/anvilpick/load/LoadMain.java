package io.anvilpick.load;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableList;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Command-line program {@code anvilpick-load}. */
@Command(
        name = "anvilpick-load",
        description = "Starts calls at a constant mean rate, as callers do, and prints latencies and counts."
                + " Exits with 1 if a call was lost, doubled or cut.")
public final class LoadMain implements Program {
    private static final int DEFAULT_SECONDS = 10;
    private static final int MAX_SECONDS = 3_600;

    @AirlineModule
    private HelpOption<LoadMain> help;

    @Option(name = "--version", description = "Print the version and exit")
    private boolean version;

    @Option(name = "--daemons", description = "Addresses of daemons, separated by commas")
    private @Nullable String daemons;

    @Option(
            name = "--direct",
            description = "Send to the addresses of --daemons without querying them for the address to use")
    private boolean direct;

    @Option(name = "--zone", description = "Availability zone of the callers")
    private @Nullable String zone;

    @Option(name = "--call", description = "SERVICE,METHOD,PATH,CALLS_PER_SECOND,TENANT; can be repeated")
    private List<String> calls = new ArrayList<>();

    @Option(name = "--seconds", description = "Seconds during which calls are started (default 10)")
    private @Nullable String seconds;

    @Option(name = "--warmup-seconds", description = "Initial seconds that are excluded from the latencies (default 0)")
    private @Nullable String warmupSeconds;

    @Option(name = "--seed", description = "Seed of arrival times (default 1)")
    private @Nullable String seed;

    @Option(name = "--records", description = "Folder with the execution records that targets write")
    private @Nullable String records;

    @Option(
            name = "--targets",
            description = "Addresses of targets to query for their probe counts, separated by commas")
    private @Nullable String targets;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        Program.runAndExit(LoadMain.class, "anvilpick-load", args);
    }

    @Override
    public ExitCode run() throws InterruptedException {
        if (help.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        if (version) {
            String number = LoadMain.class.getPackage().getImplementationVersion();
            System.out.println("anvilpick-load " + (number == null ? "development" : number));
            return ExitCode.OK;
        }
        SettingsReader reader = new SettingsReader(System.getenv());
        List<String> errors = new ArrayList<>();
        LoadSettings settings = read(reader, errors);
        errors.addAll(reader.errors());
        if (!errors.isEmpty()) {
            errors.forEach(error -> System.err.println("anvilpick-load: " + error));
            return ExitCode.USAGE;
        }
        LoadRun run = new LoadRun(settings);
        run.run();
        Report.Violations violations = new Report(settings, run).print(System.out);
        return violations.isEmpty() ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    private LoadSettings read(SettingsReader reader, List<String> errors) {
        ImmutableList.Builder<CallStream> streams = ImmutableList.builder();
        for (String call : calls) {
            CallStream.parse(call)
                    .ifPresentOrElse(
                            streams::add,
                            () -> errors.add("--call: '" + call + "': must be SERVICE,METHOD,PATH,RATE,TENANT"));
        }
        if (calls.isEmpty()) {
            errors.add("--call: is missing");
        }
        ImmutableList<String> addresses = reader.addresses("--daemons", daemons);
        if (addresses.isEmpty()) {
            errors.add("--daemons: is missing");
        }
        return new LoadSettings(
                addresses,
                direct,
                reader.text("--zone", zone, ""),
                streams.build(),
                reader.wholeNumber("--seconds", seconds, 1, MAX_SECONDS, DEFAULT_SECONDS),
                reader.wholeNumber("--warmup-seconds", warmupSeconds, 0, MAX_SECONDS, 0),
                reader.wholeNumber("--seed", seed, 0, Integer.MAX_VALUE, 1),
                reader.text("--records", records, ""),
                reader.addresses("--targets", targets));
    }
}
