package org.whinhead.serving.duty;

import java.util.Optional;

/**
 * The lease as a read of the store found it.
 *
 * @param record the newest record, if there is one
 * @param end the offset that the next record gets
 */
public record StoredLease(Optional<LeaseRecord> record, long endOffset) {}
