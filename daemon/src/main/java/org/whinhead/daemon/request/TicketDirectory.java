package org.whinhead.daemon.request;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.whinhead.api.request.RequestId;

/** Keeps tickets for callers that can't hold them, also after the end of their daemon. */
public interface TicketDirectory {

    /**
     * Keeps a ticket; a later one of the same request replaces it.
     *
     * @param request the ID of the request
     * @param ticket the encoded ticket
     */
    void store(RequestId request, String ticket);

    /**
     * Finds the ticket of a request that its caller repeats.
     *
     * @param request the ID of the request
     * @return the encoded ticket; empty if none is found in time; never fails
     */
    CompletionStage<Optional<String>> find(RequestId request);
}
