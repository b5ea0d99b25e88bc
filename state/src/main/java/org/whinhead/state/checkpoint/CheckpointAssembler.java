package org.whinhead.state.checkpoint;

import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.record.LogRecord;

/**
 * Assembles checkpoints from their parts and keeps the complete one with the highest offset.
 *
 * <p>A writer may crash between two parts, write a part twice or publish an old checkpoint late. A
 * checkpoint is accepted only if it is complete, its digest matches and its offset is higher than
 * that of the checkpoint accepted before.
 */
public final class CheckpointAssembler {

    private static final int MAX_INCOMPLETE = 4;

    private final CheckpointCodec mCodec = new CheckpointCodec();
    private final NavigableMap<CheckpointKey, Map<Integer, String>> mIncomplete = new TreeMap<>();
    private Optional<FoldState> mNewest = Optional.empty();

    /** Returns the complete checkpoint with the highest offset, or empty if there is none. */
    public Optional<FoldState> newest() {
        return mNewest;
    }

    /**
     * Adds a part. Parts may arrive repeatedly and in any order.
     *
     * @param record the part
     * @return the checkpoint that the part completes, or empty if parts are missing, the digest
     *     differs or the checkpoint is not newer than {@link #newest}
     */
    public Optional<FoldState> addPart(final LogRecord.Checkpoint record) {
        if (mNewest.isPresent() && record.asOf() <= mNewest.get().asOf()) {
            return Optional.empty();
        }
        final CheckpointKey key =
                new CheckpointKey(record.asOf(), record.checkpointId(), record.digest());
        final Map<Integer, String> parts =
                mIncomplete.computeIfAbsent(key, name -> new TreeMap<>());
        parts.put(record.part(), record.data());
        if (parts.size() < record.parts()) {
            dropOldest();
            return Optional.empty();
        }
        mIncomplete.remove(key);
        return assemble(parts, record);
    }

    private void dropOldest() {
        if (mIncomplete.size() > MAX_INCOMPLETE) {
            mIncomplete.pollFirstEntry();
        }
    }

    private Optional<FoldState> assemble(
            final Map<Integer, String> parts, final LogRecord.Checkpoint record) {
        try {
            final FoldState state = mCodec.decode(joinParts(parts, record.digest()));
            if (state.asOf() != record.asOf()) {
                return Optional.empty();
            }
            mNewest = Optional.of(state);
            mIncomplete.headMap(new CheckpointKey(state.asOf() + 1, "", "")).clear();
            return mNewest;
        } catch (final CheckpointException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static byte[] joinParts(final Map<Integer, String> parts, final String digest)
            throws CheckpointException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (final String part : parts.values()) {
            all.writeBytes(Base64.getDecoder().decode(part));
        }
        if (!CheckpointCodec.sha256Hex(all.toByteArray()).equals(digest)) {
            throw new CheckpointException("checkpoint digest differs", null);
        }
        return all.toByteArray();
    }

    private record CheckpointKey(long asOf, String checkpointId, String digest)
            implements Comparable<CheckpointKey> {
        @Override
        public int compareTo(final CheckpointKey other) {
            final int byOffset = Long.compare(asOf, other.asOf);
            if (byOffset != 0) {
                return byOffset;
            }
            final int byName = checkpointId.compareTo(other.checkpointId);
            return byName != 0 ? byName : digest.compareTo(other.digest);
        }
    }
}
