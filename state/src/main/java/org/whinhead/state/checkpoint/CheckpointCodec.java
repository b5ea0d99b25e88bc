package org.whinhead.state.checkpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.record.JsonMapping;

/**
 * Encodes a state as gzipped JSON and decodes it. Checkpoints and the exchange of states between
 * peers use this format.
 */
public final class CheckpointCodec {

    private final ObjectMapper mMapper = JsonMapping.createMapper();

    /**
     * Encodes a state.
     *
     * @param state the state
     * @return the gzipped JSON
     */
    public byte[] encode(final FoldState state) {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream zipped = new GZIPOutputStream(bytes)) {
            mMapper.writeValue(zipped, state);
        } catch (final IOException e) {
            throw new IllegalArgumentException("state cannot be written", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes a state.
     *
     * @param bytes the result of {@link #encode}
     * @return the state
     * @throws CheckpointException if the bytes are not gzipped JSON of a state
     */
    public FoldState decode(final byte[] bytes) throws CheckpointException {
        try (GZIPInputStream zipped = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            return mMapper.readValue(zipped, FoldState.class);
        } catch (final IOException e) {
            throw new CheckpointException("not a checkpoint: " + e.getMessage(), e);
        }
    }

    static String sha256Hex(final byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every platform has SHA-256", e);
        }
    }
}
