package org.whinhead.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.peer.generated.PeerProto.ExplainReply;
import org.whinhead.peer.generated.PeerProto.LeavingNotice;
import org.whinhead.peer.generated.PeerProto.SettingsInForce;

class OutboundQueueTest {

    // Guards against memory filled by a peer that stops reading, and against a lost reply: gossip,
    // which is repeated anyway, must be dropped first, and replies never while their connection is
    // open.
    @Test
    void oldestGossipIsDroppedFirstAndRepliesAreKept() {
        final OutboundQueue queue = queue(4, 3, 1000, new QueueBudget(1000));
        assertThat(queue.add(gossip(1))).isZero();
        assertThat(queue.add(reply("a"))).isZero();
        assertThat(queue.add(gossip(2))).isZero();
        assertThat(queue.add(notice())).isZero();
        assertThat(queue.add(gossip(3))).isEqualTo(1);
        assertThat(queue.add(reply("b"))).isEqualTo(1);
        assertThat(queue.add(reply("c"))).isEqualTo(1);
        assertThat(queue.add(reply("d"))).isEqualTo(1);
        assertThat(queue.size()).isEqualTo(4);
        assertThat(queue.poll()).isEqualTo(reply("a"));
        assertThat(queue.add(reply("e"))).isZero();
        assertThat(queue.add(reply("f"))).isEqualTo(-1);
    }

    @Test
    void gossipCountAndBytesAreBoundedSeparately() {
        final OutboundQueue queue = queue(100, 2, 50, new QueueBudget(1000));
        for (int i = 1; i <= 5; i++) {
            queue.add(gossip(i));
        }
        assertThat(queue.poll()).isEqualTo(gossip(4));
        assertThat(queue.add(reply("x".repeat(60)))).isEqualTo(-1);
        assertThat(queue.dropReplies()).isEqualTo(1);
        assertThat(queue.isEmpty()).isTrue();
    }

    // Guards against memory filled by many queues, each within its own bound, when a whole region
    // is unreachable: dropped and cleared messages must be returned to the shared budget.
    @Test
    void allQueuesShareOneBudget() {
        final QueueBudget budget = new QueueBudget(30);
        final OutboundQueue first = queue(100, 100, 1000, budget);
        final OutboundQueue second = queue(100, 100, 1000, budget);
        assertThat(first.add(reply("x".repeat(20)))).isZero();
        assertThat(second.add(gossip(1))).isZero();
        assertThat(second.add(gossip(2))).isEqualTo(1);
        first.clear();
        assertThat(second.add(gossip(3))).isZero();
        assertThat(second.size()).isEqualTo(2);
    }

    private static OutboundQueue queue(
            final int messages, final int gossip, final long bytes, final QueueBudget budget) {
        return new OutboundQueue(new PeerSettings.QueueBounds(messages, gossip, bytes, 1), budget);
    }

    private static Envelope gossip(final long revision) {
        return Envelope.newBuilder()
                .setSettingsInForce(SettingsInForce.newBuilder().setRevision(revision))
                .build();
    }

    private static Envelope notice() {
        return Envelope.newBuilder().setLeavingNotice(LeavingNotice.newBuilder()).build();
    }

    private static Envelope reply(final String record) {
        return Envelope.newBuilder()
                .setExplainReply(ExplainReply.newBuilder().addRecords(record))
                .build();
    }
}
