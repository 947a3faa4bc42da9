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
 * Measures every fleet in every scenario. Fleets take turns within each scenario and seed, so that a change of the
 * machine's mood meets all of them.
 */
final class BenchRun {
    private static final int WARMUP_SECONDS = 1;
    private static final int FIRST_WARMUP_SECONDS = 3;
    private static final double FIRST_WARMUP_UTILISATION = 0.6;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long SETTLE_MILLIS = 300;
    private static final List<String> TENANTS = List.of("a", "b", "c");
    private static final Pattern PROBES = Pattern.compile(".*probes=(\\d+).*");
    private static final Pattern SAMPLE = Pattern.compile("(?m)^anvilpick_(hedges|retries)\\S* (\\S+)$");

    private final BenchSettings settings;
    private final WebClient client = WebClient.of();
    private final PrintStream progress;

    private record Key(String fleet, String scenario) {}

    private record Extras(long hedges, long retries) {}

    BenchRun(BenchSettings settings, PrintStream progress) {
        this.settings = settings;
        this.progress = progress;
    }

    /** Returns the results in the order of scenarios, then fleets. */
    ImmutableList<BenchResult> run() throws InterruptedException {
        for (Fleet fleet : settings.fleets()) {
            load(fleet, new Scenario.Steady(FIRST_WARMUP_UTILISATION), FIRST_WARMUP_SECONDS, 0);
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
        misbehave(scenario.firstTarget(), scenario.otherTargets());
        Thread.sleep(SETTLE_MILLIS);
        long probesBefore = probes();
        Extras before = extras(fleet);
        Thread crash = scenario instanceof Scenario.Crash ? Thread.startVirtualThread(this::crashHalfWay) : null;
        LoadRun run = load(fleet, scenario, settings.seconds() + WARMUP_SECONDS, seed);
        if (crash != null) {
            crash.join();
            switchFirstTarget(false);
        }
        Extras after = extras(fleet);
        long probesAfter = probes();
        misbehave("", "");
        return resultOf(
                fleet,
                scenario,
                run,
                probesAfter - probesBefore,
                new Extras(after.hedges() - before.hedges(), after.retries() - before.retries()));
    }

    private BenchResult resultOf(Fleet fleet, Scenario scenario, LoadRun run, long probes, Extras extras) {
        Histogram all = new Histogram(3);
        Histogram quiet = new Histogram(3);
        Tally.Counts counts = Tally.Counts.NONE;
        for (Map.Entry<CallStream, Tally> each : run.tallies().entrySet()) {
            Histogram latencies = each.getValue().latencies();
            all.add(latencies);
            if (!each.getKey().tenant().equals(TENANTS.get(0))) {
                quiet.add(latencies);
            }
            counts = counts.plus(each.getValue().counts());
        }
        double slotMillis = settings.targets().size() * settings.slots() * settings.seconds() * MILLIS_PER_SECOND;
        return new BenchResult(
                fleet.name(), scenario, all, quiet, counts, probes, extras.hedges(), extras.retries(), slotMillis);
    }

    private LoadRun load(Fleet fleet, Scenario scenario, int seconds, int seed) throws InterruptedException {
        List<CallStream> streams = new ArrayList<>();
        double perSecond = settings.capacityPerSecond() * scenario.utilisation();
        for (int i = 0; i < TENANTS.size(); i++) {
            double share = scenario.tenantShares().get(i);
            streams.add(new CallStream("bench", "GET", "/rows", perSecond * share, TENANTS.get(i)));
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

    private void misbehave(String first, String others) {
        for (int i = 0; i < settings.targets().size(); i++) {
            String query = i == 0 ? first : others;
            client.get("http://" + settings.targets().get(i) + "/admin/misbehave?" + query)
                    .aggregate()
                    .join();
        }
    }

    private void crashHalfWay() {
        try {
            Thread.sleep((long) ((WARMUP_SECONDS + settings.seconds() / 2.0) * MILLIS_PER_SECOND));
            switchFirstTarget(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The oracle's address also takes targets down and up. */
    private void switchFirstTarget(boolean down) {
        String oracle = settings.fleets().get(0).daemons().get(0);
        client.get("http://" + oracle + "/admin/down?target=0&down=" + down)
                .aggregate()
                .join();
    }

    private long probes() {
        long probes = 0;
        for (String target : settings.targets()) {
            Matcher matcher = PROBES.matcher(client.get("http://" + target + "/admin/counts")
                    .aggregate()
                    .join()
                    .contentUtf8());
            probes += matcher.matches() ? Long.parseLong(matcher.group(1)) : 0;
        }
        return probes;
    }

    /** The oracle has no metrics, and hedges nothing. */
    private Extras extras(Fleet fleet) {
        long hedges = 0;
        long retries = 0;
        for (String daemon : fleet.daemons()) {
            try {
                Matcher matcher = SAMPLE.matcher(client.get("http://" + daemon + "/anvilpick/v1/metrics")
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
        return new Extras(hedges, retries);
    }
}
