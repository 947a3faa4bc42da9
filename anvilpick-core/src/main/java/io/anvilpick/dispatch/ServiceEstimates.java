package io.anvilpick.dispatch;

/**
 * What the answers and load reports of all targets of a service show about each of them. Guarded by the dispatcher's lock.
 *
 * @param nearFullSlowdown how much longer calls take on a target that is nearly full
 * @param typicalLoad the load that a target without a recent report is expected to have
 */
record ServiceEstimates(NearFullSlowdown nearFullSlowdown, TypicalLoad typicalLoad) {
    static ServiceEstimates create() {
        return new ServiceEstimates(new NearFullSlowdown(), new TypicalLoad());
    }
}
