package io.anvilpick.daemon.control;

import io.anvilpick.membership.Member;

/**
 * Word that a member knows more than this daemon.
 *
 * @param source the member
 * @param configVersion version of the configuration in force there
 * @param claimMapVersion version of its claim map
 */
record News(Member source, long configVersion, long claimMapVersion) {}
