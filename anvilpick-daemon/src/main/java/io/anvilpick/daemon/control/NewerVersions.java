package io.anvilpick.daemon.control;

import io.anvilpick.membership.Member;

/**
 * Versions reported by a member whose configuration or claim map is newer than that of this daemon.
 *
 * @param source member that reported the versions
 * @param configVersion version of its active configuration
 * @param claimMapVersion version of its claim map
 */
record NewerVersions(Member source, long configVersion, long claimMapVersion) {}
