package io.anvilpick.time;

/** The machine's own clocks. */
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
