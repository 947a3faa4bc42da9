package io.anvilpick.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.linecorp.armeria.client.WebClient;
import io.anvilpick.daemon.target.connections.TargetHeaders;
import io.anvilpick.entry.SharedBudget;
import io.anvilpick.fleet.EntryMember;
import io.anvilpick.fleet.FleetChange;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.routes.Backend;
import io.anvilpick.routes.RequestLimits;
import io.anvilpick.routes.RetrySafety;
import io.anvilpick.routes.Route;
import io.anvilpick.routes.RouteConfiguration;
import io.anvilpick.routes.RouteTable;
import io.anvilpick.tenants.TenantHeaders;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EntryDaemonTest {
    private static final TargetHeaders NAMES = new TargetHeaders(
            "x-id",
            "x-left",
            "x-seal",
            "x-target",
            "x-load",
            "warm-up-left",
            "x-not-run",
            "x-leaving",
            new TenantHeaders("x-key", "x-tenant"));
    private static final StoredItem ITEM = new StoredItem("c", new StoreRevision(0, 1), Optional.of("configuration"));
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int CALL_PORT = 20_001;
    private static final int METRICS_PORT = 20_002;
    private static final int PEER_PORT = 20_003;

    /** Distance to the ports of a second daemon. The first one's peer port stays open after its shutdown. */
    private static final int SECOND_DAEMON = 20;

    private final CountDownLatch hasConfiguration = new CountDownLatch(1);
    private final FixedStore store = new FixedStore(ITEM, hasConfiguration);
    private final String address = Loopback.exclusiveAddress();
    private final EntryDaemon daemon = EntryDaemon.builder()
            .settings(settings(0))
            .store(store)
            .decoder(item -> ImmutableList.of(new FleetChange.ConfigurationWritten(configuration())))
            .headers(NAMES)
            .build();

    private EntrySettings settings(int distance) {
        EntryMember self = new EntryMember(
                "a", address + ":" + (CALL_PORT + distance), address + ":" + (PEER_PORT + distance), "r", "z");
        return EntrySettings.builder(self)
                .callAddress(new InetSocketAddress(address, CALL_PORT + distance))
                .metricsAddress(new InetSocketAddress(address, METRICS_PORT + distance))
                .extraCalls(new SharedBudget(0.2, 10, Duration.ofSeconds(10)))
                .grace(Duration.ofSeconds(1))
                .addressesGoodFor(Duration.ofSeconds(2))
                .build();
    }

    private static RouteConfiguration configuration() {
        Route route = new Route(
                "read",
                "a.example",
                "/a/",
                new RetrySafety.Idempotent(),
                2_000,
                600,
                1,
                2,
                ImmutableList.of(new Backend("s", 1)));
        return new RouteConfiguration(
                1,
                RouteTable.of(List.of(route)),
                ImmutableMap.of("s", new RouteConfiguration.ServiceSettings("/healthz", 10)),
                new RequestLimits(1_000));
    }

    private int statusOfUnknownPath() {
        return WebClient.of("http://" + address + ":" + CALL_PORT)
                .get("/nowhere")
                .aggregate()
                .join()
                .status()
                .code();
    }

    @Test
    void isReadyFromItsFirstConfigurationUntilShutdown() throws Exception {
        daemon.start();
        assertFalse(daemon.isReady());
        assertEquals(UNAVAILABLE, statusOfUnknownPath());
        hasConfiguration.countDown();
        store.isFollowed.await();
        assertTrue(daemon.isReady());
        assertEquals(NOT_FOUND, statusOfUnknownPath());
        assertEquals(List.of(address + ":" + CALL_PORT), daemon.addressesFor("r", "z"));
        daemon.shutDown();
        assertFalse(daemon.isReady());
        assertEquals(List.of(), daemon.addressesFor("r", "z"));
    }

    /** Guards against an old configuration in force that no page of the daemon shows. */
    @Test
    void metricsShowANewerConfigurationThatIsUnreadable() throws Exception {
        EntryDaemon reading = EntryDaemon.builder()
                .settings(settings(SECOND_DAEMON))
                .store(store)
                .decoder(item -> ImmutableList.of(
                        new FleetChange.ConfigurationWritten(configuration()),
                        new FleetChange.Unreadable(
                                "c", new FleetChange.Subject.Configuration(OptionalLong.of(9)), "no JSON")))
                .headers(NAMES)
                .build();
        hasConfiguration.countDown();
        reading.start();
        store.isFollowed.await();
        List<String> lines = WebClient.of("http://" + address + ":" + (METRICS_PORT + SECOND_DAEMON))
                .get("/metrics")
                .aggregate()
                .join()
                .contentUtf8()
                .lines()
                .toList();
        reading.shutDown();
        assertTrue(lines.contains("anvilpick_configuration_version 1.0"), lines::toString);
        assertTrue(lines.contains("anvilpick_configuration_unreadable 1.0"), lines::toString);
        assertTrue(lines.contains("anvilpick_configuration_unreadable_version 9.0"), lines::toString);
        assertTrue(lines.contains("anvilpick_unreadable_entries{kind=\"configuration\",} 1.0"), lines::toString);
        assertTrue(lines.contains("anvilpick_unreadable_entries{kind=\"target\",} 0.0"), lines::toString);
    }
}
