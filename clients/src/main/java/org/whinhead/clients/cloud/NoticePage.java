package org.whinhead.clients.cloud;

import java.util.List;

/**
 * A page of reclaim notices, in the order of their sequence.
 *
 * @param next the position of the next page
 * @param notices the notices
 */
public record NoticePage(long next, List<ReclaimNotice> notices) {

    /** Copies the list. */
    public NoticePage {
        notices = List.copyOf(notices);
    }
}
