package io.anvilpick.platform.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/** JSON bodies of the platform's responses. */
final class PlatformMessages {
    private PlatformMessages() {}

    /** A key with its value and revision. */
    record EntryBody(
            @JsonProperty(required = true) String key,
            @JsonProperty(required = true) String value,
            @JsonProperty(required = true) long revision) {}

    /** The revision of a key after a write, or the one that conflicts with a write. */
    record RevisionBody(@JsonProperty(required = true) long revision) {}

    /** The number of a granted lease. */
    record LeaseBody(@JsonProperty(required = true) long lease) {}

    /** An element of the list of VMs. */
    record VmBody(
            @JsonProperty(required = true) String address,
            @JsonProperty(required = true) String state) {}
}
