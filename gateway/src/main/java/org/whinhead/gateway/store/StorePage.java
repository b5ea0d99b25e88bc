package org.whinhead.gateway.store;

import java.util.List;

/**
 * What a read found.
 *
 * @param records the records, in the order of their offsets
 * @param end the offset that the topic's next record gets
 * @param truncated whether records that were asked for are no longer kept
 */
public record StorePage(List<StoreRecord> records, long end, boolean truncated) {

    /** Copies the records. */
    public StorePage {
        records = List.copyOf(records);
    }
}
