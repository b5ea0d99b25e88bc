package org.whinhead.gateway.store;

import java.util.List;

/**
 * The result of a read.
 *
 * @param records the records, in the order of their offsets
 * @param end the offset that the topic's next record gets
 * @param truncated whether the store has dropped records of the requested range
 */
public record StorePage(List<StoreRecord> records, long end, boolean truncated) {

    /** Copies the records. */
    public StorePage {
        records = List.copyOf(records);
    }
}
