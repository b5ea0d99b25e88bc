package org.whinhead.peer;

import org.whinhead.peer.generated.PeerProto.Envelope;

/** What may be dropped when a peer does not take its messages fast enough. */
enum MessageClass {
    /** Soon said again in a newer form; the oldest goes first. */
    GOSSIP,
    /** Announcements and requests; dropped only when no gossip is left to drop. */
    COMMAND,
    /** Somebody waits for it; never dropped while its connection lives. */
    REPLY;

    static MessageClass of(final Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case HEARTBEAT, GOSSIP, LOAD_DIGEST, SETTINGS_IN_FORCE -> GOSSIP;
            case TAIL_CHUNK,
                    CLAIM_REPLY,
                    EXPLAIN_REPLY,
                    HANDOVER_ACK,
                    REPORT_REPLY,
                    SETTINGS_REPLY ->
                    REPLY;
            default -> COMMAND;
        };
    }
}
