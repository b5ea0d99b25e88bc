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
 * Reads and writes rollout records and their statuses for operators.
 *
 * <p>A write succeeds only if the topic still has the end that this daemon last read. So a holder
 * that was paused while another one decided otherwise can't append its own decision, and a write
 * that the store carries out seconds late has no effect.
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
            final StoreRecord record, final Map<String, RolloutRecord> records) {
        try {
            records.put(record.key(), RolloutCodec.decodeStored(record.value().get()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            LOG.error("rollout record not readable, it is written again", e);
        }
    }

    /** Reads the end of the status topic; required before the first status is written. */
    CompletableFuture<Void> readStatusEnd() {
        return mStore.newest(StoreTopic.STATUS).thenAccept(page -> mStatusEnd = page.end());
    }

    /** Writes a record and returns whether the topic had the expected end. */
    CompletableFuture<Boolean> writeRecord(final RolloutRecord record) {
        return mStore.appendAt(
                        StoreTopic.ROLLOUTS,
                        record.service(),
                        RolloutCodec.encodeStored(record),
                        mRecordsEnd)
                .thenApply(
                        end -> {
                            end.ifPresent(newEnd -> mRecordsEnd = newEnd);
                            return end.isPresent();
                        });
    }

    /** Writes a status for operators and returns whether the topic had the expected end. */
    CompletableFuture<Boolean> writeStatus(final RolloutRecord record) {
        return mStore.appendAt(
                        StoreTopic.STATUS,
                        mCodec.statusKey(record.service()),
                        mCodec.encodeStatus(record),
                        mStatusEnd)
                .thenApply(
                        end -> {
                            end.ifPresent(newEnd -> mStatusEnd = newEnd);
                            return end.isPresent();
                        });
    }
}
