package io.anvilpick.platform.http;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The JSON bodies of the platform's answers. */
final class PlatformMessages {
    private PlatformMessages() {}

    /** A key's value. */
    record EntryBody(
            @JsonProperty(required = true) String key,
            @JsonProperty(required = true) String value,
            @JsonProperty(required = true) long revision) {}

    /** The revision that a key is at after a write, or that made it fail. */
    record RevisionBody(@JsonProperty(required = true) long revision) {}

    /** A lease that was granted. */
    record LeaseBody(@JsonProperty(required = true) long lease) {}

    /** A row of the list of VMs. */
    record VmBody(
            @JsonProperty(required = true) String address,
            @JsonProperty(required = true) String state) {}
}
