package io.anvilpick.messages;

/** What one daemon asks of, or tells, another. */
public sealed interface PeerRequest
        permits ClaimVoteRequest,
                ClaimSettleRequest,
                ClaimReleaseRequest,
                SealRequest,
                InstallRequest,
                GossipRequest,
                ConfigPartsRequest,
                CrashReportRequest,
                StoreUpdateRequest,
                CrashClearedRequest {}
