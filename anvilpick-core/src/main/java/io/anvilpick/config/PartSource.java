package io.anvilpick.config;

import com.google.common.collect.ImmutableMap;
import java.util.Set;

/** A source of missing parts of a configuration: the platform or a peer. */
@FunctionalInterface
public interface PartSource {
    /**
     * Returns the texts that {@code digests} identify, by digest. Parts that the source does not hold are left out.
     *
     * @throws ConfigurationException if the source cannot be reached
     */
    ImmutableMap<String, String> fetch(Set<String> digests) throws ConfigurationException;
}
