package io.anvilpick.messages;

/** A request or notification from one daemon to another. */
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
                AllowanceRequest,
                CrashClearedRequest {}
