/**
 * Runs requests that are routed by host and path: selects the route and the service, sends the request, and counts and
 * logs its outcome. Begin with {@link io.anvilpick.entry.EntryRunner}.
 */
@NullMarked
package io.anvilpick.entry;

import org.jspecify.annotations.NullMarked;
