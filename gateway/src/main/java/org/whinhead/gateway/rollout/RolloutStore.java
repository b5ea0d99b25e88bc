package org.whinhead.gateway.rollout;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.peers.RolloutCodec;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.OperatorRolloutCodec;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.rollout.RolloutRecord;

/**
 * What the store keeps of roll-outs.
 *
 * <p>Both topics are appended to only where they end as this daemon last saw them end. A holder
 * that was paused while another one decided otherwise can't write its own decision behind that, and
 * a write that the store carries out seconds late finds another end.
 */
final class RolloutStore {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutStore.class);

    private final MetadataStore mStore;
    private final OperatorRolloutCodec mCodec;
    private long mRecordsEnd;
    private long mStatusEnd;

    RolloutStore(final MetadataStore store, final OperatorRolloutCodec protocol) {
        mStore = store;
        mCodec = protocol;
    }

    /** Reads the newest record of each service. */
    CompletableFuture<Map<String, RolloutRecord>> readRecords() {
        return mStore.newest(StoreTopic.ROLLOUTS).thenApply(this::decodeRecords);
    }

    private Map<String, RolloutRecord> decodeRecords(final StorePage page) {
        mRecordsEnd = page.end();
        final Map<String, RolloutRecord> records = new HashMap<>();
        for (final StoreRecord record : page.records()) {
            if (record.value().isPresent()) {
                decodeInto(record, records);
            }
        }
        return records;
    }

    private static void decodeInto(
            final StoreRecord record, final Map<String, RolloutRecord> into) {
        try {
            into.put(record.key(), RolloutCodec.stored(record.value().get()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.error("record of a roll-out not understood, it is written anew", e);
        }
    }

    /** Reads where what operators read ends, before anything is written there. */
    CompletableFuture<Void> readStatusEnd() {
        return mStore.newest(StoreTopic.STATUS).thenAccept(page -> mStatusEnd = page.end());
    }

    /** Writes a record, and tells whether this daemon's view of the topic was the newest. */
    CompletableFuture<Boolean> writeRecord(final RolloutRecord record) {
        return mStore.appendAt(
                        StoreTopic.ROLLOUTS,
                        record.service(),
                        RolloutCodec.stored(record),
                        mRecordsEnd)
                .thenApply(
                        end -> {
                            end.ifPresent(known -> mRecordsEnd = known);
                            return end.isPresent();
                        });
    }

    /** Tells operators, if this daemon's view of the topic is the newest. */
    CompletableFuture<Boolean> writeStatus(final RolloutRecord record) {
        return mStore.appendAt(
                        StoreTopic.STATUS,
                        mCodec.statusKey(record.service()),
                        mCodec.encodeStatus(record),
                        mStatusEnd)
                .thenApply(
                        end -> {
                            end.ifPresent(known -> mStatusEnd = known);
                            return end.isPresent();
                        });
    }
}
