package io.anvilpick.config;

import com.google.common.collect.ImmutableMap;
import java.util.Set;

/** Where missing parts of a configuration are fetched from: the platform, or a peer. */
@FunctionalInterface
public interface PartSource {
    /**
     * Returns the texts named by {@code digests}, as far as the source has them.
     *
     * @throws ConfigurationException if the source cannot be reached
     */
    ImmutableMap<String, String> fetch(Set<String> digests) throws ConfigurationException;
}
