package io.anvilpick.peer;

import com.google.common.collect.ImmutableList;
import io.anvilpick.fleet.FleetUpdate;
import io.anvilpick.fleet.RelayedUpdate;
import io.anvilpick.fleet.StoreRevision;
import io.anvilpick.fleet.StoredItem;
import io.anvilpick.messages.StoreUpdateRequest;
import io.anvilpick.peer.wire.PeerProto;
import java.time.Duration;
import java.util.Optional;

/** Converts store updates that daemons relay to and from protobuf messages. */
final class StoreUpdateCodec {
    private StoreUpdateCodec() {}

    static PeerProto.Follow encode(StoreUpdateRequest request) {
        return PeerProto.Follow.newBuilder()
                .setAfter(request.after().number())
                .setEra(request.after().era())
                .build();
    }

    static StoreUpdateRequest decode(PeerProto.Follow follow) {
        return new StoreUpdateRequest(new StoreRevision(follow.getEra(), follow.getAfter()));
    }

    static PeerProto.Followed encode(RelayedUpdate relayed) {
        PeerProto.Followed.Builder builder =
                PeerProto.Followed.newBuilder().setAgeMillis(relayed.age().toMillis());
        switch (relayed.update()) {
            case FleetUpdate.FullState full -> {
                setRevision(builder.setWhole(true), full.revision());
                full.items().forEach(item -> builder.addItems(encode(item)));
            }
            case FleetUpdate.Changes changes -> {
                setRevision(builder, changes.revision());
                changes.items().forEach(item -> builder.addItems(encode(item)));
            }
            case FleetUpdate.HistoryLost ignored ->
                throw new IllegalArgumentException("update: a daemon without the history relays all items");
        }
        return builder.build();
    }

    private static void setRevision(PeerProto.Followed.Builder builder, StoreRevision revision) {
        builder.setEra(revision.era()).setRevision(revision.number());
    }

    static RelayedUpdate decode(PeerProto.Followed followed) {
        long era = followed.getEra();
        ImmutableList.Builder<StoredItem> items = ImmutableList.builder();
        for (PeerProto.StoredItem item : followed.getItemsList()) {
            Optional<String> value = item.hasValue() ? Optional.of(item.getValue()) : Optional.empty();
            items.add(new StoredItem(item.getKey(), new StoreRevision(era, item.getRevision()), value));
        }
        StoreRevision revision = new StoreRevision(era, followed.getRevision());
        FleetUpdate update = followed.getWhole()
                ? new FleetUpdate.FullState(items.build(), revision)
                : new FleetUpdate.Changes(items.build(), revision);
        return new RelayedUpdate(update, Duration.ofMillis(followed.getAgeMillis()));
    }

    private static PeerProto.StoredItem encode(StoredItem item) {
        PeerProto.StoredItem.Builder builder = PeerProto.StoredItem.newBuilder()
                .setKey(item.key())
                .setRevision(item.revision().number());
        item.value().ifPresent(builder::setValue);
        return builder.build();
    }
}
