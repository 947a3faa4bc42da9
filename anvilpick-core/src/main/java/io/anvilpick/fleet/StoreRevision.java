package io.anvilpick.fleet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A revision of the store. The store's numbers go back when it returns from an older copy, with a later era, and are then assigned
 * again. Numbers are therefore comparable within one era only.
 *
 * @param era number of times that the store has returned from an older copy; 0 if the store states none
 * @param number the store's number of a change within the era
 */
public record StoreRevision(long era, long number) {
    /** The revision of a daemon that has read nothing. */
    public static final StoreRevision NONE = new StoreRevision(0, -1);

    /** Returns whether this revision is after {@code other}. */
    public boolean isAfter(StoreRevision other) {
        checkArgument(era == other.era, "revisions of eras %s and %s are not comparable", era, other.era);
        return number > other.number;
    }

    /** Returns the later one of two revisions of the same era. */
    public static StoreRevision laterOf(StoreRevision one, StoreRevision other) {
        return one.isAfter(other) ? one : other;
    }
}
