package org.whinhead.gateway.duty;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Confirms with the store that this daemon holds the lease, before it calls the platform. */
@FunctionalInterface
interface LeaseConfirmation {

    /**
     * Confirms the lease.
     *
     * @return the fencing token once the store has answered; empty if this daemon doesn't hold the
     *     lease, or if the store hasn't answered in time. The future doesn't fail.
     */
    CompletableFuture<Optional<Long>> confirm();
}
