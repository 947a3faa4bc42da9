package io.anvilpick.fleet.sync;

import io.anvilpick.fleet.RelayLog;
import io.anvilpick.messages.PeerException;
import io.anvilpick.messages.PeerReply;
import io.anvilpick.messages.PeerRequest;
import io.anvilpick.messages.PeerTransport;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.time.Deadline;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Fake of the other daemons, each with a relay log. A daemon without a log does not answer. */
final class FakePeers implements PeerTransport {
    final Map<String, RelayLog> logs = new HashMap<>();
    final List<String> requests = new ArrayList<>();

    @Override
    public CompletableFuture<PeerReply> send(String peerAddress, PeerRequest request, Deadline deadline) {
        StoreUpdateRequest storeUpdate = (StoreUpdateRequest) request;
        requests.add(peerAddress + " " + storeUpdate.after().number());
        RelayLog log = logs.get(peerAddress);
        if (log == null) {
            return CompletableFuture.failedFuture(new PeerException("no answer", false));
        }
        return CompletableFuture.completedFuture(log.updateAfter(storeUpdate.after())
                .<PeerReply>map(PeerReply.StoreUpdate::new)
                .orElseGet(() -> new PeerReply.Rejected("nothing read")));
    }
}
