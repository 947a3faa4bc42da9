package io.anvilpick.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StoreRevisionTest {
    @Test
    void numbersOfOneEraAreCompared() {
        StoreRevision later = new StoreRevision(2, 8);
        assertTrue(later.isAfter(new StoreRevision(2, 7)));
        assertEquals(later, StoreRevision.laterOf(new StoreRevision(2, 7), later));
    }

    /** Guards against changes of a new era that are skipped since their numbers are lower than those read before. */
    @Test
    void numbersOfDifferentErasAreNotCompared() {
        StoreRevision one = new StoreRevision(1, 8);
        StoreRevision other = new StoreRevision(2, 7);
        assertThrows(IllegalArgumentException.class, () -> one.isAfter(other));
        assertThrows(IllegalArgumentException.class, () -> StoreRevision.laterOf(one, other));
    }
}
