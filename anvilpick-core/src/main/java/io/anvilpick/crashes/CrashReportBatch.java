package io.anvilpick.crashes;

import com.google.common.collect.ImmutableList;

/**
 * Crash reports that are written to the store as one item.
 *
 * @param id name of the daemon that writes it and a number
 */
public record CrashReportBatch(String id, ImmutableList<CrashReport> reports) {
    /** Maximum number of reports, which keeps the item as small as the store's readers require. */
    public static final int MAX_REPORTS = 100;
}
