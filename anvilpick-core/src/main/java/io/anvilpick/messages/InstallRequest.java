package io.anvilpick.messages;

import com.google.common.collect.ImmutableList;
import io.anvilpick.claims.Claim;

/** Hands claims to a replica for the case that the change {@code changeId} takes effect as {@code epoch}. */
public record InstallRequest(int group, long epoch, String changeId, ImmutableList<Claim> claims)
        implements PeerRequest {}
