package io.anvilpick.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KeyValueStoreTest {
    private static final long NOW = 100_000;
    private static final long TIME_TO_LIVE = 1_000_000;

    private final KeyValueStore store = new KeyValueStore();

    private List<String> rows() {
        return store.list("", NOW).stream()
                .map(row -> row.key() + "=" + row.value())
                .toList();
    }

    /** Guards against a simulated return that keeps a part of what was written since the copy. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 5_000, 30_000})
    void returnLosesWhatWasWrittenSinceTheCopyAndAssignsItsRevisionsAgain(long age) {
        long copiedAt = NOW - age;
        long kept = store.grantLease(TIME_TO_LIVE, copiedAt);
        long first = store.compareAndSet("a", 0, "1", kept, copiedAt);
        long second = store.compareAndSet("a", first, "2", 0, copiedAt + 1);
        long lost = store.grantLease(TIME_TO_LIVE, copiedAt + 1);
        store.compareAndSet("b", 0, "1", lost, NOW);
        assertEquals(1, store.goBack(age, NOW));
        assertEquals(List.of("a=1"), rows());
        assertTrue(store.renewLease(kept, NOW));
        assertFalse(store.renewLease(lost, NOW));
        assertEquals(second, store.compareAndSet("a", first, "3", 0, NOW));
        assertEquals(lost, store.grantLease(TIME_TO_LIVE, NOW));
        assertEquals(2, store.goBack(0, NOW));
        assertEquals(List.of("a=3"), rows());
    }

    /** Guards against rows that stay for good because their lease is not restored with them. */
    @Test
    void rowWhoseLeaseHasExpiredSinceTheCopyIsNotRestored() {
        long lease = store.grantLease(10, NOW - 1_000);
        store.compareAndSet("a", 0, "1", lease, NOW - 1_000);
        assertEquals(List.of(), rows());
        store.goBack(995, NOW);
        assertEquals(List.of(), rows());
    }
}
