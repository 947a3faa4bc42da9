package io.anvilpick.entry;

import io.anvilpick.error.ErrorKind;

/** Counts nothing. */
final class NoCounts implements EntryCounts {
    @Override
    public void answered(String route, int status, long nanos) {}

    @Override
    public void failed(String route, ErrorKind kind) {}

    @Override
    public void abandoned(String route) {}

    @Override
    public void retried(String service) {}

    @Override
    public void hedged(String service) {}
}
