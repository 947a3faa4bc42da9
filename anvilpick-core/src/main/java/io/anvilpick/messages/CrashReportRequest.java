package io.anvilpick.messages;

import io.anvilpick.crashes.CrashReport;

/** Reports a request that was running when its target crashed. */
public record CrashReportRequest(CrashReport report) implements PeerRequest {}
