package io.anvilpick.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.anvilpick.config.ServiceConfig;
import io.anvilpick.time.ManualTimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private final ManualTimeSource time = ManualTimeSource.startingAt(0);
    private final MemberTable table = new MemberTable(member("me", "z0", 1), time);

    private static Member member(String instance, String zone, long beat) {
        return new Member(instance, instance + ":80", instance + ":70", "region", zone, false, beat);
    }

    private static ServiceConfig service(String name, int homes) {
        return ServiceConfig.builder(name)
                .homes(homes)
                .requests(List.of())
                .targets(List.of())
                .build();
    }

    private Liveness livenessOf(String instance) {
        return table.find(instance).orElseThrow().liveness();
    }

    @Test
    void memberWithoutHeartbeatsIsSuspectAndRecoversWithANewOne() {
        table.merge(member("other", "z1", 5));
        assertEquals(Liveness.LIVE, livenessOf("other"));
        time.advance(MemberTable.MIN_SUSPECT_AFTER.plusMillis(1));
        assertEquals(Liveness.SUSPECT, livenessOf("other"));
        assertFalse(table.merge(member("other", "z1", 5)), "an old heartbeat does not change the table");
        assertEquals(Liveness.SUSPECT, livenessOf("other"));
        assertTrue(table.merge(member("other", "z1", 6)));
        assertEquals(Liveness.LIVE, livenessOf("other"));
        assertEquals(Liveness.LIVE, livenessOf("me"), "a daemon never suspects itself");
    }

    @Test
    void memberThatIsGoneStaysGone() {
        table.merge(member("other", "z1", 5));
        table.markGone("other");
        table.merge(member("other", "z1", 9));
        assertEquals(Liveness.GONE, livenessOf("other"));
    }

    @Test
    void leavingOverridesEarlierDescriptions() {
        table.merge(member("other", "z1", 5).asLeaving(6));
        table.merge(member("other", "z1", 5));
        assertEquals(Liveness.LEAVING, livenessOf("other"));
    }

    @Test
    void memberWithoutHeartbeatsForLongIsRemoved() {
        table.merge(member("other", "z1", 5));
        time.advance(MemberTable.REMOVE_AFTER.plusSeconds(1));
        assertEquals(1, table.all().size());
    }

    @Test
    void answerNeverContainsALeavingOrSuspectMember() {
        for (int i = 0; i < 4; i++) {
            table.merge(member("m" + i, "z" + i, 1));
        }
        table.merge(member("m0", "z0", 1).asLeaving(2));
        table.markGone("m1");
        time.advance(MemberTable.MIN_SUSPECT_AFTER.plus(Duration.ofMillis(1)));
        table.merge(member("m2", "z2", 2));
        table.incrementHeartbeat();
        AddressSelector selector = new AddressSelector(table, new SplittableRandom(1));
        for (int i = 0; i < 50; i++) {
            AddressAnswer answer = selector.select(service("s" + i, 3), "z0").orElseThrow();
            assertTrue(Set.of("me:80", "m2:80").contains(answer.address()), answer.address());
            assertTrue(Set.of("me:80", "m2:80").containsAll(answer.fallbacks()));
            assertTrue(answer.goodForMillis() > 0);
        }
    }

    @Test
    void lossOfADaemonMovesOnlyItsServicesAndSpreadsThem() {
        for (int i = 0; i < 5; i++) {
            table.merge(member("m" + i, "z" + i % 3, 1));
        }
        AddressSelector selector = new AddressSelector(table, new SplittableRandom(1));
        Map<String, String> before = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            before.put(
                    "s" + i,
                    selector.select(service("s" + i, 1), "").orElseThrow().address());
        }
        table.markGone("m3");
        Map<String, Integer> movedTo = new HashMap<>();
        before.forEach((name, address) -> {
            String after = selector.select(service(name, 1), "").orElseThrow().address();
            if (address.equals("m3:80")) {
                assertNotEquals("m3:80", after);
                movedTo.merge(after, 1, Integer::sum);
            } else {
                assertEquals(address, after);
            }
        });
        assertEquals(5, movedTo.size(), "the callers of the lost daemon are spread over all remaining daemons");
    }

    @Test
    void homeInTheCallersZoneIsPreferred() {
        for (int i = 0; i < 6; i++) {
            table.merge(member("m" + i, "z" + i % 3, 1));
        }
        AddressSelector selector = new AddressSelector(table, new SplittableRandom(1));
        for (int i = 0; i < 20; i++) {
            String address = selector.select(service("everywhere", 7), "z1")
                    .orElseThrow()
                    .address();
            assertTrue(Set.of("m1:80", "m4:80").contains(address), address);
        }
    }
}
