package io.anvilpick.daemon.http;

import com.google.common.collect.ImmutableListMultimap;

/** The outcome of a call to a server. */
public sealed interface ServerReply {
    /**
     * The complete response of the server.
     *
     * @param headers its headers, by name in lower case
     */
    record Answered(int status, ImmutableListMultimap<String, String> headers, byte[] body) implements ServerReply {}

    /** The server has not received the call. */
    record NotSent(String reason) implements ServerReply {}

    /** The response is larger than the client reads. The server may have carried out the call. */
    record TooLarge() implements ServerReply {}

    /** The server may have received the call, and its response did not arrive completely before the deadline. */
    record Lost(String reason) implements ServerReply {}
}
