package io.anvilpick.load;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableList;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The program behind {@code bin/bench}: compares fleets of daemons that the script has started. */
@Command(name = "bench", description = "Compares policies on running daemons and stand-in targets")
public final class BenchMain implements Program {
    private static final int DEFAULT_SLOTS = 4;
    private static final double DEFAULT_MEAN_MILLIS = 20;
    private static final int DEFAULT_SECONDS = 3;
    private static final int DEFAULT_SEEDS = 5;
    private static final int MAX_OPTION_VALUE = 1_000;

    @Option(name = "--fleet", description = "NAME;ask|direct;ADDRESSES; can be repeated")
    private List<String> fleets = new ArrayList<>();

    @Option(name = "--targets", description = "Addresses of the targets, separated by commas")
    private @Nullable String targets;

    @Option(name = "--slots", description = "Slots of each target (default 4)")
    private @Nullable String slots;

    @Option(name = "--mean-ms", description = "Mean service time of a call in milliseconds (default 20)")
    private @Nullable String meanMillis;

    @Option(name = "--seconds", description = "Seconds of each measurement (default 3)")
    private @Nullable String seconds;

    @Option(name = "--seeds", description = "Number of seeds (default 5)")
    private @Nullable String seeds;

    @Option(name = "--quick", description = "Run only a few scenarios")
    private boolean quick;

    @Option(name = "--scenario", description = "Run only scenarios whose name starts with this text")
    private String scenario = "";

    @Option(name = "--out", description = "Folder for the table and the plot")
    private @Nullable String out;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        Program.runAndExit(BenchMain.class, "bench", args);
    }

    @Override
    public ExitCode run() throws InterruptedException {
        SettingsReader reader = new SettingsReader(System.getenv());
        List<String> errors = new ArrayList<>();
        BenchSettings settings = read(reader, errors);
        errors.addAll(reader.errors());
        if (!errors.isEmpty()) {
            errors.forEach(error -> System.err.println("bench: " + error));
            return ExitCode.USAGE;
        }
        ImmutableList<BenchResult> results = new BenchRun(settings, System.err).run();
        BenchTable table = new BenchTable(settings, results);
        table.write();
        System.out.print(table.markdown());
        System.out.println(table.summary());
        return ExitCode.OK;
    }

    private BenchSettings read(SettingsReader reader, List<String> errors) {
        ImmutableList.Builder<Fleet> parsed = ImmutableList.builder();
        for (String fleet : fleets) {
            Fleet.parse(fleet)
                    .ifPresentOrElse(
                            parsed::add,
                            () -> errors.add("--fleet: '" + fleet + "': must be NAME;ask|direct;ADDRESSES"));
        }
        return new BenchSettings(
                parsed.build(),
                reader.addresses("--targets", targets),
                reader.wholeNumber("--slots", slots, 1, MAX_OPTION_VALUE, DEFAULT_SLOTS),
                reader.number("--mean-ms", meanMillis, DEFAULT_MEAN_MILLIS),
                reader.wholeNumber("--seconds", seconds, 1, MAX_OPTION_VALUE, DEFAULT_SECONDS),
                reader.wholeNumber("--seeds", seeds, 1, MAX_OPTION_VALUE, DEFAULT_SEEDS),
                (quick ? Scenario.quick() : Scenario.all())
                        .stream()
                                .filter(each -> each.label().startsWith(scenario))
                                .collect(ImmutableList.toImmutableList()),
                Path.of(reader.text("--out", out, "build/bench")));
    }
}
