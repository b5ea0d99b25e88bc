package org.whinhead.gateway.peers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.whinhead.gateway.generated.GatewayProto.CustomerCountRecord;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.UsageDecisionNews;
import org.whinhead.gateway.generated.GatewayProto.UsageDecisionRecord;
import org.whinhead.serving.duty.UsageDecision;

/**
 * Tells other daemons of usage decisions, in parts that each fit into a packet, and puts those of
 * the lease holder together.
 */
final class UsageDecisionMessenger {

    /** Maximum number of counts in a datagram; one takes about 20 bytes. */
    private static final int COUNTS_PER_DATAGRAM = 50;

    /** The number of windows whose parts are kept until all have arrived. */
    private static final int KEPT_WINDOWS = 4;

    private final Consumer<Datagram> mSend;
    private final TreeMap<Long, Map<String, Long>> mParts = new TreeMap<>();
    private Consumer<UsageDecision> mOnDecision = decision -> {};

    /**
     * Creates a messenger.
     *
     * @param send sends a datagram to the daemons that may hold the lease next
     */
    UsageDecisionMessenger(final Consumer<Datagram> send) {
        mSend = Objects.requireNonNull(send, "send");
    }

    void onDecision(final Consumer<UsageDecision> onDecision) {
        mOnDecision = onDecision;
    }

    /** Tells the daemons that may hold the lease next of a decision. */
    void tell(final UsageDecision decision) {
        final List<Map.Entry<String, Long>> counts = List.copyOf(decision.counts().entrySet());
        int from = 0;
        do {
            final int to = Math.min(from + COUNTS_PER_DATAGRAM, counts.size());
            mSend.accept(encode(decision, counts.subList(from, to)));
            from = to;
        } while (from < counts.size());
    }

    private static Datagram encode(
            final UsageDecision decision, final List<Map.Entry<String, Long>> part) {
        final UsageDecisionRecord.Builder record =
                UsageDecisionRecord.newBuilder()
                        .setWindow(decision.window())
                        .setDelivered(decision.delivered());
        part.forEach(
                count ->
                        record.addCounts(
                                CustomerCountRecord.newBuilder()
                                        .setCustomer(count.getKey())
                                        .setRequests(count.getValue())));
        return Datagram.newBuilder()
                .setUsageDecision(
                        UsageDecisionNews.newBuilder()
                                .setDecision(record)
                                .setCustomers(decision.counts().size()))
                .build();
    }

    /** Applies a datagram if it tells of a decision. */
    void receive(final Datagram datagram) {
        if (!datagram.hasUsageDecision()) {
            return;
        }
        final UsageDecisionNews news = datagram.getUsageDecision();
        final UsageDecisionRecord record = news.getDecision();
        final Map<String, Long> counts =
                mParts.computeIfAbsent(record.getWindow(), window -> new HashMap<>());
        for (final CustomerCountRecord count : record.getCountsList()) {
            counts.put(count.getCustomer(), count.getRequests());
        }
        if (counts.size() == news.getCustomers()) {
            mParts.remove(record.getWindow());
            mOnDecision.accept(
                    new UsageDecision(record.getWindow(), counts, record.getDelivered()));
        } else if (mParts.size() > KEPT_WINDOWS) {
            mParts.pollFirstEntry();
        }
    }
}
