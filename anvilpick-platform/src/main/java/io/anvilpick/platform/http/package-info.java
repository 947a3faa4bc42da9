/** HTTP client of the platform's key-value service and list of VMs. Begin at {@link HttpPlatform}. */
@NullMarked
package io.anvilpick.platform.http;

import org.jspecify.annotations.NullMarked;
