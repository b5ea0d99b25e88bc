package org.whinhead.serving.duty;

import java.util.Optional;

/**
 * Result of a read of the lease from the store.
 *
 * @param record the newest record, if there is one
 * @param endOffset the offset of the next record
 */
public record StoredLease(Optional<LeaseRecord> record, long endOffset) {}
