package io.anvilpick.messages;

import com.google.common.collect.ImmutableSet;

/** Asks for parts of the configuration by digest. */
public record ConfigPartsRequest(ImmutableSet<String> digests) implements PeerRequest {}
