package org.whinhead.clients.cloud;

import java.util.List;

/**
 * Some notices in order.
 *
 * @param next where to read on
 * @param notices the notices
 */
public record NoticePage(long next, List<ReclaimNotice> notices) {

    /** Copies the list. */
    public NoticePage {
        notices = List.copyOf(notices);
    }
}
