package io.anvilpick.load.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import io.anvilpick.config.AcceptResult;
import io.anvilpick.config.ConfigurationAcceptor;
import io.anvilpick.config.ConfigurationCodec;
import io.anvilpick.config.ConfigurationException;
import io.anvilpick.config.ConfigurationStore;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import io.anvilpick.platform.http.HttpPlatform;
import io.anvilpick.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Measures the control cost of running daemons while the configuration changes once per second, and the time until a change
 * is active on all of them. The daemons receive no calls during the measurement.
 */
final class ControlSlopes {
    private static final ImmutableList<Integer> SERVICES = ImmutableList.of(300, 600, 1_200, 2_400);
    private static final int WARMUP_CHANGES = 5;
    private static final int CHANGES = 8;
    private static final int TIMED_CHANGES = 3;
    private static final long CHANGE_INTERVAL_MILLIS = 1_000;
    private static final long POLL_MILLIS = 10;
    private static final double PERCENT = 100;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ConfigurationCodec codec = new ConfigurationCodec();
    private final JsonMapper json = new JsonMapper();
    private final WebClient client = WebClient.of();
    private final ConfigurationAcceptor acceptor;
    private final ProcessMeter meter;
    private final ImmutableList<String> daemons;
    private long version;

    ControlSlopes(String platformAddress, ImmutableList<String> daemons, ProcessMeter meter) {
        TimeSource time = TimeSource.system();
        Platform platform = HttpPlatform.at(platformAddress, ClientFactory.ofDefault(), time);
        this.acceptor = new ConfigurationAcceptor(new ConfigurationStore(platform, codec), codec, time);
        this.daemons = daemons;
        this.meter = meter;
    }

    List<Slope> measure() throws PlatformException, ConfigurationException, InterruptedException {
        List<Double> sizes = new ArrayList<>();
        List<Double> cpuPercent = new ArrayList<>();
        List<Double> bytesPerSecond = new ArrayList<>();
        List<Double> activationMillis = new ArrayList<>();
        for (int services : SERVICES) {
            change(services);
            awaitActivation();
            changeEverySecond(services, WARMUP_CHANGES);
            long startNanos = System.nanoTime();
            ProcessMeter.Usage before = meter.usage();
            changeEverySecond(services, CHANGES);
            ProcessMeter.Usage used = meter.usage().minus(before);
            double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
            sizes.add((double) services);
            cpuPercent.add(used.cpuSeconds() / seconds / meter.processes() * PERCENT);
            bytesPerSecond.add(used.bytes() / seconds / meter.processes());
            activationMillis.add(maxActivationMillis(services));
        }
        return List.of(
                Slope.fit("control_cpu_at_one_change_a_second", "percent of a core", "service", sizes, cpuPercent),
                Slope.fit("control_bytes_at_one_change_a_second", "bytes a second", "service", sizes, bytesPerSecond),
                Slope.fit("time_until_in_force_everywhere", "ms", "service", sizes, activationMillis));
    }

    private void changeEverySecond(int services, int changes)
            throws PlatformException, ConfigurationException, InterruptedException {
        for (int i = 0; i < changes; i++) {
            long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHANGE_INTERVAL_MILLIS);
            change(services);
            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
        }
    }

    private double maxActivationMillis(int services)
            throws PlatformException, ConfigurationException, InterruptedException {
        double max = 0;
        for (int i = 0; i < TIMED_CHANGES; i++) {
            change(services);
            long acceptedAt = System.nanoTime();
            awaitActivation();
            max = Math.max(max, (System.nanoTime() - acceptedAt) / NANOS_PER_MILLI);
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        return max;
    }

    private void change(int services) throws PlatformException, ConfigurationException {
        AcceptResult result = acceptor.accept(new ConfigurationAcceptor.Change(
                SampleState.configuration(services, (int) (version + 1)),
                version,
                UUID.randomUUID().toString(),
                SampleState.KEYS.privateKey()));
        if (!(result instanceof AcceptResult.Accepted accepted)) {
            throw new ConfigurationException("not accepted: " + result);
        }
        version = accepted.version();
    }

    private void awaitActivation() throws InterruptedException {
        for (String daemon : daemons) {
            while (activeVersionOf(daemon) < version) {
                Thread.sleep(POLL_MILLIS);
            }
        }
    }

    private long activeVersionOf(String daemon) {
        try {
            String status = client.get("http://" + daemon + "/anvilpick/v1/status")
                    .aggregate()
                    .join()
                    .contentUtf8();
            return json.readTree(status).path("configVersion").asLong();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("status of " + daemon + " is not valid JSON", e);
        }
    }
}
