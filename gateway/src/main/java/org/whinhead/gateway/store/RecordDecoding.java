package org.whinhead.gateway.store;

/** Runs decoders, so that one that fails on a record doesn't end the reading of the others. */
final class RecordDecoding {

    private RecordDecoding() {}

    /** Decodes one record. */
    @FunctionalInterface
    interface Decoding<T> {

        /** Returns what the record describes. */
        T decode() throws UnreadableRecordException;
    }

    /**
     * Decodes a record.
     *
     * @param decoding the decoder with its record
     * @return what the record describes
     * @throws UnreadableRecordException if the decoder rejects the record or fails on it
     */
    static <T> T decode(final Decoding<T> decoding) throws UnreadableRecordException {
        try {
            return decoding.decode();
        } catch (RuntimeException | StackOverflowError e) {
            throw new UnreadableRecordException("decoder failed: " + e, e);
        }
    }
}
