package io.anvilpick.standins.proxy;

/**
 * The faults that a proxy injects.
 *
 * @param delayMillis the delay of all bytes in each direction, in milliseconds
 * @param cut whether open connections are closed and new ones are closed as soon as they are accepted
 * @param hold whether bytes in both directions are discarded and connections stay open, as in a network partition
 * @param dropAnswers whether bytes from the server to the client are discarded
 */
record ProxyFaults(long delayMillis, boolean cut, boolean hold, boolean dropAnswers) {
    static final ProxyFaults NONE = new ProxyFaults(0, false, false, false);
}
