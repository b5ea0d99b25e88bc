package org.whinhead.gateway.store;

import java.util.List;

/**
 * The result of a read.
 *
 * @param records the records, in the order of their offsets
 * @param end the position that the topic's next record gets
 * @param truncated whether the store doesn't have the requested range: it has dropped records of
 *     it, or has returned from an older copy
 */
public record StorePage(List<StoreRecord> records, long end, boolean truncated) {

    /** Copies the records. */
    public StorePage {
        records = List.copyOf(records);
    }
}
