package org.whinhead.peer;

import org.whinhead.peer.generated.PeerProto.Envelope;

/** The class of a message, which determines whether a full queue may drop it. */
enum MessageClass {
    /** Periodic messages that a newer one replaces; dropped first, oldest first. */
    GOSSIP,
    /** Notices and requests; dropped, oldest first, only when no gossip is left. */
    COMMAND,
    /** Replies, for which a requester waits; never dropped while their connection is open. */
    REPLY;

    static MessageClass of(final Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case HEARTBEAT, GOSSIP, LOAD_DIGEST, SETTINGS_IN_FORCE -> GOSSIP;
            case TAIL_CHUNK,
                    CLAIM_REPLY,
                    EXPLAIN_REPLY,
                    HANDOVER_ACK,
                    REPORT_REPLY,
                    SETTINGS_REPLY,
                    TICKET_REPLY ->
                    REPLY;
            default -> COMMAND;
        };
    }
}
