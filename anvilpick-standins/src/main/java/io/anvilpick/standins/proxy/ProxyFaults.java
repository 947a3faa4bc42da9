package io.anvilpick.standins.proxy;

/**
 * What a proxy does to traffic.
 *
 * @param delayMillis milliseconds by which every byte is late, each way
 * @param cut whether connections are closed and new ones refused
 * @param hold whether bytes are taken and go nowhere, as across a parted network
 * @param dropAnswers whether bytes on their way back go nowhere
 */
record ProxyFaults(long delayMillis, boolean cut, boolean hold, boolean dropAnswers) {
    static final ProxyFaults NONE = new ProxyFaults(0, false, false, false);
}
