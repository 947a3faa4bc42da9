package io.anvilpick.messages;

import com.google.common.collect.ImmutableSet;

/** Requests parts of the configuration by digest. */
public record ConfigPartsRequest(ImmutableSet<String> digests) implements PeerRequest {}
