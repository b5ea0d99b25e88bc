package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.gateway.generated.GatewayProto.EndpointChangeRecord;
import org.whinhead.gateway.generated.GatewayProto.EndpointNews;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Spells changes of endpoints for other daemons. */
final class EndpointChanges {

    /** Changes in one datagram: some 90 bytes each, so that it travels in one packet. */
    private static final int MOST_CHANGES = 12;

    private EndpointChanges() {}

    static List<EndpointNews> encode(final List<EndpointChange> changes) {
        final List<EndpointNews> all = new ArrayList<>();
        for (int from = 0; from < changes.size(); from += MOST_CHANGES) {
            final EndpointNews.Builder news = EndpointNews.newBuilder();
            changes.subList(from, Math.min(from + MOST_CHANGES, changes.size()))
                    .forEach(change -> news.addChanges(encode(change)));
            all.add(news.build());
        }
        return all;
    }

    private static EndpointChangeRecord encode(final EndpointChange change) {
        final EndpointChangeRecord.Builder record =
                EndpointChangeRecord.newBuilder().setId(change.id()).setOffset(change.offset());
        change.entry().ifPresent(entry -> describe(entry, record));
        return record.build();
    }

    private static void describe(
            final EndpointEntry entry, final EndpointChangeRecord.Builder record) {
        record.setService(entry.service())
                .setVersion(entry.version())
                .setAddress(Addresses.format(entry.address()))
                .setDomain(entry.domain())
                .setSlots(entry.slots())
                .setLeaving(entry.leaving())
                .setReclaimable(entry.reclaimable())
                .setColdMillis(entry.coldFor().toMillis());
        entry.leavesIn().ifPresent(left -> record.setLeavesInMillis(left.toMillis()));
        entry.startedAt().ifPresent(start -> record.setStartedMillis(start.toEpochMilli()));
    }

    /**
     * Reads changes.
     *
     * @param news the changes as they were sent
     * @return the changes
     * @throws IllegalArgumentException if one can't be understood
     */
    static List<EndpointChange> decode(final EndpointNews news) {
        return news.getChangesList().stream()
                .map(
                        record ->
                                new EndpointChange(
                                        record.getId(), record.getOffset(), entry(record)))
                .toList();
    }

    private static Optional<EndpointEntry> entry(final EndpointChangeRecord record) {
        if (record.getService().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                EndpointEntry.builder(
                                record.getId(),
                                record.getService(),
                                Addresses.parse(record.getAddress()),
                                record.getDomain())
                        .version(record.getVersion())
                        .slots(record.getSlots())
                        .leaving(record.getLeaving(), leavesIn(record))
                        .reclaimable(record.getReclaimable())
                        .started(startedAt(record), Duration.ofMillis(record.getColdMillis()))
                        .build());
    }

    private static Optional<Duration> leavesIn(final EndpointChangeRecord record) {
        return record.hasLeavesInMillis()
                ? Optional.of(Duration.ofMillis(record.getLeavesInMillis()))
                : Optional.empty();
    }

    private static Optional<Instant> startedAt(final EndpointChangeRecord record) {
        return record.hasStartedMillis()
                ? Optional.of(Instant.ofEpochMilli(record.getStartedMillis()))
                : Optional.empty();
    }
}
