package org.whinhead.state.record;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/** Encodes records as the JSON bytes on the log and decodes them. */
public final class LogRecordCodec {

    private static final String KIND = "kind";
    private static final String ID = "id";

    private final ObjectMapper mMapper = JsonMapping.createMapper();

    /**
     * Encodes a record.
     *
     * @param record the record
     * @return the record as JSON
     */
    public byte[] encode(final LogRecord record) {
        try {
            return mMapper.writeValueAsBytes(toTree(record));
        } catch (final JsonProcessingException e) {
            throw new IllegalArgumentException("record cannot be written: " + record.id(), e);
        }
    }

    private ObjectNode toTree(final LogRecord record) throws JsonProcessingException {
        final ObjectNode tree;
        if (record instanceof LogRecord.Unknown unknown) {
            tree = (ObjectNode) mMapper.readTree(unknown.body());
            tree.put(KIND, unknown.kind());
            tree.set(ID, mMapper.valueToTree(unknown.id()));
        } else {
            tree = mMapper.valueToTree(record);
            tree.put(KIND, RecordKind.of(record).label());
        }
        return tree;
    }

    /**
     * Decodes a record. A record of an unknown kind is returned complete as {@link
     * LogRecord.Unknown}, because daemons of a newer program version may write at the same time.
     *
     * @param bytes the bytes
     * @return the record
     * @throws RecordFormatException if the bytes are not a record of this system
     */
    public LogRecord decode(final byte[] bytes) throws RecordFormatException {
        try {
            final JsonNode tree = mMapper.readTree(bytes);
            if (!(tree instanceof ObjectNode node) || !node.path(KIND).isTextual()) {
                throw new RecordFormatException("record has no kind", null);
            }
            final String label = node.remove(KIND).textValue();
            final Optional<RecordKind> kind = RecordKind.ofLabel(label);
            return kind.isPresent()
                    ? mMapper.treeToValue(node, kind.get().type())
                    : toUnknownRecord(label, node);
        } catch (final IOException e) {
            throw new RecordFormatException(e.getMessage(), e);
        }
    }

    private LogRecord toUnknownRecord(final String label, final ObjectNode node)
            throws IOException, RecordFormatException {
        final RecordId id = mMapper.treeToValue(node.remove(ID), RecordId.class);
        if (id == null) {
            throw new RecordFormatException("record has no id, kind " + label, null);
        }
        return new LogRecord.Unknown(id, label, mMapper.writeValueAsString(node));
    }
}
