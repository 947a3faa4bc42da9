package io.anvilpick.time;

/** A time source backed by the clocks of this VM. */
enum SystemTimeSource implements TimeSource {
    INSTANCE;

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long epochMillis() {
        return System.currentTimeMillis();
    }
}
