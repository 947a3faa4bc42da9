package io.anvilpick.peer;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.peer.wire.PeerProto;
import java.time.Duration;
import java.util.Optional;

/** Converts store updates that daemons relay to and from protobuf messages. */
final class StoreUpdateCodec {
    private StoreUpdateCodec() {}

    static PeerProto.Followed encode(RelayedUpdate relayed) {
        PeerProto.Followed.Builder builder =
                PeerProto.Followed.newBuilder().setAgeMillis(relayed.age().toMillis());
        switch (relayed.update()) {
            case FleetUpdate.FullState full -> {
                builder.setWhole(true).setRevision(full.revision());
                full.items().forEach(item -> builder.addItems(encode(item)));
            }
            case FleetUpdate.Changes changes -> {
                builder.setRevision(changes.revision());
                changes.items().forEach(item -> builder.addItems(encode(item)));
            }
            case FleetUpdate.HistoryLost ignored ->
                throw new IllegalArgumentException("update: a daemon without the history relays all items");
        }
        return builder.build();
    }

    static RelayedUpdate decode(PeerProto.Followed followed) {
        ImmutableList.Builder<StoredItem> items = ImmutableList.builder();
        for (PeerProto.StoredItem item : followed.getItemsList()) {
            Optional<String> value = item.hasValue() ? Optional.of(item.getValue()) : Optional.empty();
            items.add(new StoredItem(item.getKey(), item.getRevision(), value));
        }
        FleetUpdate update = followed.getWhole()
                ? new FleetUpdate.FullState(items.build(), followed.getRevision())
                : new FleetUpdate.Changes(items.build(), followed.getRevision());
        return new RelayedUpdate(update, Duration.ofMillis(followed.getAgeMillis()));
    }

    private static PeerProto.StoredItem encode(StoredItem item) {
        PeerProto.StoredItem.Builder builder =
                PeerProto.StoredItem.newBuilder().setKey(item.key()).setRevision(item.revision());
        item.value().ifPresent(builder::setValue);
        return builder.build();
    }
}
