package io.anvilpick.load;

import com.google.common.collect.ImmutableList;
import com.linecorp.armeria.client.WebClient;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Measures every fleet in every scenario. Fleets alternate within each scenario and seed. Variations in the speed of the
 * machine therefore affect all fleets.
 */
final class BenchRun {
    private static final int WARMUP_SECONDS = 1;
    private static final int FIRST_WARMUP_SECONDS = 3;
    private static final double FIRST_WARMUP_UTILISATION = 0.6;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long SETTLE_MILLIS = 300;
    private static final List<String> TENANTS = List.of("a", "b", "c");
    private static final Pattern PROBE_COUNT = Pattern.compile(".*probes=(\\d+).*");
    private static final Pattern METRIC = Pattern.compile("(?m)^anvilpick_(hedges|retries)\\S* (\\S+)$");

    private final BenchSettings settings;
    private final WebClient client = WebClient.of();
    private final PrintStream progress;

    private record Key(String fleet, String scenario) {}

    private record ExtraRequests(long hedges, long retries) {}

    BenchRun(BenchSettings settings, PrintStream progress) {
        this.settings = settings;
        this.progress = progress;
    }

    /** Runs all measurements and returns the results, ordered by scenario and then by fleet. */
    ImmutableList<BenchResult> run() throws InterruptedException {
        for (Fleet fleet : settings.fleets()) {
            runLoad(fleet, new Scenario.Steady(FIRST_WARMUP_UTILISATION), FIRST_WARMUP_SECONDS, 0);
        }
        Map<Key, BenchResult> results = new LinkedHashMap<>();
        for (Scenario scenario : settings.scenarios()) {
            for (int seed = 1; seed <= settings.seeds(); seed++) {
                for (Fleet fleet : settings.fleets()) {
                    BenchResult result = measure(fleet, scenario, seed);
                    results.merge(new Key(fleet.name(), scenario.label()), result, BenchResult::plus);
                    progress.printf(
                            "fleet=%s scenario=\"%s\" seed=%d p50_ms=%.2f p99_ms=%.2f refused=%d unknown=%d%n",
                            fleet.name(),
                            scenario.label(),
                            seed,
                            result.millisAt(50),
                            result.millisAt(99),
                            result.counts().notRun(),
                            result.counts().unknown());
                }
            }
        }
        return ImmutableList.copyOf(results.values());
    }

    private BenchResult measure(Fleet fleet, Scenario scenario, int seed) throws InterruptedException {
        configureTargets(scenario.firstTargetQuery(), scenario.otherTargetsQuery());
        Thread.sleep(SETTLE_MILLIS);
        long probesBefore = probes();
        ExtraRequests before = extraRequests(fleet);
        Thread crash =
                scenario instanceof Scenario.Crash ? Thread.startVirtualThread(this::crashFirstTargetMidway) : null;
        LoadRun run = runLoad(fleet, scenario, settings.seconds() + WARMUP_SECONDS, seed);
        if (crash != null) {
            crash.join();
            setFirstTargetDown(false);
        }
        ExtraRequests after = extraRequests(fleet);
        long probesAfter = probes();
        configureTargets("", "");
        return resultOf(
                fleet,
                scenario,
                run,
                probesAfter - probesBefore,
                new ExtraRequests(after.hedges() - before.hedges(), after.retries() - before.retries()));
    }

    private BenchResult resultOf(
            Fleet fleet, Scenario scenario, LoadRun run, long probes, ExtraRequests extraRequests) {
        Histogram all = new Histogram(3);
        Histogram quietTenants = new Histogram(3);
        Tally.Counts counts = Tally.Counts.NONE;
        for (Map.Entry<CallStream, Tally> each : run.tallies().entrySet()) {
            Histogram latencies = each.getValue().latencies();
            all.add(latencies);
            if (!each.getKey().tenant().equals(TENANTS.get(0))) {
                quietTenants.add(latencies);
            }
            counts = counts.plus(each.getValue().counts());
        }
        double slotMillis = settings.targets().size() * settings.slots() * settings.seconds() * MILLIS_PER_SECOND;
        return new BenchResult(
                fleet.name(),
                scenario,
                all,
                quietTenants,
                counts,
                probes,
                extraRequests.hedges(),
                extraRequests.retries(),
                slotMillis);
    }

    private LoadRun runLoad(Fleet fleet, Scenario scenario, int seconds, int seed) throws InterruptedException {
        List<CallStream> streams = new ArrayList<>();
        double callsPerSecond = settings.capacityPerSecond() * scenario.utilisation();
        for (int i = 0; i < TENANTS.size(); i++) {
            double share = scenario.tenantShares().get(i);
            streams.add(new CallStream("bench", "GET", "/rows", callsPerSecond * share, TENANTS.get(i)));
        }
        LoadRun run = new LoadRun(new LoadSettings(
                fleet.daemons(),
                fleet.direct(),
                "z0",
                ImmutableList.copyOf(streams),
                seconds,
                WARMUP_SECONDS,
                seed,
                "",
                settings.targets()));
        run.run();
        return run;
    }

    private void configureTargets(String firstQuery, String otherQuery) {
        for (int i = 0; i < settings.targets().size(); i++) {
            String query = i == 0 ? firstQuery : otherQuery;
            client.get("http://" + settings.targets().get(i) + "/admin/misbehave?" + query)
                    .aggregate()
                    .join();
        }
    }

    private void crashFirstTargetMidway() {
        try {
            Thread.sleep((long) ((WARMUP_SECONDS + settings.seconds() / 2.0) * MILLIS_PER_SECOND));
            setFirstTargetDown(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops or restarts the first target, through the admin path of the oracle. */
    private void setFirstTargetDown(boolean down) {
        String oracle = settings.fleets().get(0).daemons().get(0);
        client.get("http://" + oracle + "/admin/down?target=0&down=" + down)
                .aggregate()
                .join();
    }

    private long probes() {
        long probes = 0;
        for (String target : settings.targets()) {
            Matcher matcher = PROBE_COUNT.matcher(client.get("http://" + target + "/admin/counts")
                    .aggregate()
                    .join()
                    .contentUtf8());
            probes += matcher.matches() ? Long.parseLong(matcher.group(1)) : 0;
        }
        return probes;
    }

    /**
     * Sums the metrics of all daemons. Counts zero for a daemon that cannot be reached, and for the oracle, which has no
     * metrics and sends no hedges.
     */
    private ExtraRequests extraRequests(Fleet fleet) {
        long hedges = 0;
        long retries = 0;
        for (String daemon : fleet.daemons()) {
            try {
                Matcher matcher = METRIC.matcher(client.get("http://" + daemon + "/anvilpick/v1/metrics")
                        .aggregate()
                        .join()
                        .contentUtf8());
                while (matcher.find()) {
                    long value = (long) Double.parseDouble(matcher.group(2));
                    hedges += matcher.group(1).equals("hedges") ? value : 0;
                    retries += matcher.group(1).equals("retries") ? value : 0;
                }
            } catch (CompletionException e) {
                continue;
            }
        }
        return new ExtraRequests(hedges, retries);
    }
}
