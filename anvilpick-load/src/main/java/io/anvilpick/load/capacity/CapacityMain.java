package io.anvilpick.load.capacity;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.load.Program;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.settings.ExitCode;
import io.anvilpick.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Measures slopes, stores them in a file, and writes the figures derived from them into the capacity page. */
@Command(name = "capacity", description = "Measures slopes and computes the figures of the capacity page")
public final class CapacityMain implements Program {
    @Option(name = "--slopes", description = "File of slopes")
    private @Nullable String slopes;

    @Option(name = "--page", description = "Capacity page to update")
    private @Nullable String page;

    @Option(
            name = "--pure",
            description = "Measure retained heap and the time of decisions, votes and changes in this process")
    private boolean pure;

    @Option(name = "--platform", description = "Address of the platform of the daemons whose control cost is measured")
    private @Nullable String platform;

    @Option(name = "--daemons", description = "Addresses of these daemons, separated by commas")
    private @Nullable String daemons;

    @Option(name = "--pids", description = "Process ids of these daemons, separated by commas")
    private @Nullable String pids;

    @Option(name = "--calls", description = "RATE:MICROSECONDS_OF_PROCESSOR_A_SECOND, separated by commas")
    private @Nullable String calls;

    /** Runs the program. */
    public static void main(String[] args) throws InterruptedException {
        Program.runAndExit(CapacityMain.class, "capacity", args);
    }

    @Override
    public ExitCode run() throws PlatformException, ConfigurationException, IOException, InterruptedException {
        SettingsReader reader = new SettingsReader(System.getenv());
        Path file = Path.of(reader.text("--slopes", slopes));
        List<Slope> measured = new ArrayList<>();
        if (pure) {
            measured.addAll(InProcessSlopes.heap());
            measured.addAll(InProcessSlopes.time());
        }
        if (pids != null) {
            List<Long> processes =
                    List.of(pids.split(",", -1)).stream().map(Long::valueOf).toList();
            measured.addAll(new ControlSlopes(
                            reader.address("--platform", platform),
                            reader.addresses("--daemons", daemons),
                            new ProcessMeter(processes))
                    .measure());
        }
        if (calls != null) {
            measured.add(callSlope(calls));
        }
        if (!reader.errors().isEmpty()) {
            reader.errors().forEach(error -> System.err.println("capacity: " + error));
            return ExitCode.USAGE;
        }
        SlopeFile.merge(file, measured);
        if (page != null) {
            writePage(Path.of(page), SlopeFile.read(file));
        }
        return ExitCode.OK;
    }

    private static Slope callSlope(String text) {
        List<Double> rates = new ArrayList<>();
        List<Double> micros = new ArrayList<>();
        for (String pair : text.split(",", -1)) {
            String[] fields = pair.split(":", -1);
            rates.add(Double.valueOf(fields[0]));
            micros.add(Double.valueOf(fields[1]));
        }
        return Slope.fit("cpu_of_calls", "us of processor a second", "call a second", rates, micros);
    }

    private static void writePage(Path file, ImmutableList<Slope> all) throws IOException {
        String text = Files.readString(file);
        int begin = text.indexOf(CapacityPage.BEGIN);
        int end = text.indexOf(CapacityPage.END) + CapacityPage.END.length() + 1;
        Files.writeString(file, text.substring(0, begin) + CapacityPage.figures(all) + text.substring(end));
    }
}
