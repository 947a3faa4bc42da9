package io.anvilpick.load;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Formats the results of a benchmark as a Markdown table, a plot and a summary line. */
final class BenchTable {
    private static final String ORACLE = "oracle";
    private static final String ANVILPICK = "anvilpick";
    private static final double MAX_PLOTTED_MILLIS = 400;
    private static final int PLOT_WIDTH = 1_200;
    private static final int PLOT_HEIGHT = 600;

    private final BenchSettings settings;
    private final ImmutableList<BenchResult> results;

    BenchTable(BenchSettings settings, ImmutableList<BenchResult> results) {
        this.settings = settings;
        this.results = results;
    }

    /** Returns the results as a Markdown table. */
    String markdown() {
        StringBuilder table = new StringBuilder();
        table.append("| scenario | fleet | p50 ms | p90 ms | p99 ms | p99.9 ms | p99 of quiet tenants | refused"
                + " | unknown | probe share | hedges | retries | p99 / oracle |\n");
        table.append("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
        for (BenchResult result : results) {
            table.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.4f | %.2f%% | %.2f%% | %.2f |%n",
                    result.scenario().label(),
                    result.fleet(),
                    result.millisAt(50),
                    result.millisAt(90),
                    result.millisAt(99),
                    result.millisAt(99.9),
                    result.quietMillisAt(99),
                    percentOfCalls(result, result.counts().notRun()),
                    percentOfCalls(result, result.counts().unknown()),
                    result.probeShare(),
                    percentOfCalls(result, result.hedges()),
                    percentOfCalls(result, result.retries()),
                    ratio(result, ORACLE)));
        }
        return table.toString();
    }

    /** Returns a line with the worst ratios of the fleet named anvilpick over all scenarios. */
    String summary() {
        double worstToOracle = 0;
        double worstToBaseline = 0;
        double probeShare = 0;
        for (BenchResult result : results) {
            if (!result.fleet().equals(ANVILPICK)) {
                continue;
            }
            worstToOracle = Math.max(worstToOracle, ratio(result, ORACLE));
            worstToBaseline = Math.max(worstToBaseline, result.millisAt(99) / bestBaseline(result.scenario()));
            probeShare = Math.max(probeShare, result.probeShare());
        }
        return String.format(
                Locale.ROOT,
                "p99_vs_oracle=%.2f p99_vs_best_baseline=%.2f probe_share=%.5f",
                worstToOracle,
                worstToBaseline,
                probeShare);
    }

    /** Writes the table and the plot to the output folder. */
    void write() {
        try {
            Files.createDirectories(settings.out());
            Files.writeString(settings.out().resolve("bench.md"), markdown(), StandardCharsets.UTF_8);
            BitmapEncoder.saveBitmap(
                    chart(), settings.out().resolve("p99.png").toString(), BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private CategoryChart chart() {
        CategoryChart chart = new CategoryChartBuilder()
                .width(PLOT_WIDTH)
                .height(PLOT_HEIGHT)
                .title("p99 by scenario, ms, cut off at 400")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setYAxisMax(MAX_PLOTTED_MILLIS);
        for (Fleet fleet : settings.fleets()) {
            List<String> labels = new ArrayList<>();
            List<Double> values = new ArrayList<>();
            for (BenchResult result : results) {
                if (result.fleet().equals(fleet.name())) {
                    labels.add(result.scenario().label());
                    values.add(Math.min(MAX_PLOTTED_MILLIS, result.millisAt(99)));
                }
            }
            chart.addSeries(fleet.name(), labels, values);
        }
        return chart;
    }

    private double bestBaseline(Scenario scenario) {
        double best = Double.MAX_VALUE;
        for (BenchResult result : results) {
            boolean baseline =
                    !result.fleet().startsWith(ANVILPICK) && !result.fleet().equals(ORACLE);
            if (baseline && result.scenario().equals(scenario)) {
                best = Math.min(best, result.millisAt(99));
            }
        }
        return best;
    }

    private double ratio(BenchResult result, String fleet) {
        for (BenchResult candidate : results) {
            if (candidate.fleet().equals(fleet) && candidate.scenario().equals(result.scenario())) {
                return result.millisAt(99) / candidate.millisAt(99);
            }
        }
        return Double.NaN;
    }

    private static double percentOfCalls(BenchResult result, long number) {
        return 100.0 * number / Math.max(1, result.counts().calls());
    }
}
