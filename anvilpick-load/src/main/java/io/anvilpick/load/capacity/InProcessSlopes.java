package io.anvilpick.load.capacity;

import com.google.common.collect.ImmutableList;
import io.anvilpick.config.ConfigurationException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Measures slopes that need no running daemons: retained heap, and times measured with JMH. */
final class InProcessSlopes {
    private static final int ITERATIONS = 5;
    private static final TimeValue ITERATION_TIME = TimeValue.milliseconds(300);

    private InProcessSlopes() {}

    static List<Slope> heap() {
        HeapMeter meter = new HeapMeter();
        List<Slope> slopes = new ArrayList<>();
        slopes.add(meter.measure(
                "heap_of_configuration",
                "service",
                ImmutableList.of(300, 600, 1_200, 2_400),
                InProcessSlopes::snapshot));
        slopes.add(
                meter.measure("heap_of_members", "member", ImmutableList.of(100, 200, 400, 800), SampleState::members));
        slopes.add(meter.measure(
                "heap_of_claims", "claim", ImmutableList.of(20_000, 40_000, 80_000, 160_000), SampleState::claims));
        slopes.add(meter.measure(
                "heap_of_dispatcher", "target", ImmutableList.of(50, 100, 200, 400), SampleState::dispatcher));
        return slopes;
    }

    static List<Slope> time() {
        return List.of(
                timeOf(DecisionBenchmark.class, "time_of_decision", "ns", "target"),
                timeOf(VoteBenchmark.class, "time_of_vote", "ns", "claim"),
                timeOf(ChangeBenchmark.class, "time_of_change", "us", "service"));
    }

    private static Slope timeOf(Class<?> benchmark, String name, String unit, String per) {
        try {
            Collection<RunResult> results = new Runner(new OptionsBuilder()
                            .include(benchmark.getName())
                            .forks(1)
                            .warmupIterations(ITERATIONS)
                            .warmupTime(ITERATION_TIME)
                            .measurementIterations(ITERATIONS)
                            .measurementTime(ITERATION_TIME)
                            .build())
                    .run();
            TreeMap<Double, Double> bySize = new TreeMap<>();
            for (RunResult result : results) {
                bySize.put(
                        Double.valueOf(result.getParams().getParam("size")),
                        result.getPrimaryResult().getScore());
            }
            return Slope.fit(name, unit, per, List.copyOf(bySize.keySet()), List.copyOf(bySize.values()));
        } catch (RunnerException e) {
            throw new IllegalStateException("benchmark failed: " + name, e);
        }
    }

    private static Object snapshot(int services) {
        try {
            return SampleState.snapshot(services, 1);
        } catch (ConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }
}
