package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.whinhead.gateway.generated.GatewayProto.EndpointChangeRecord;
import org.whinhead.gateway.generated.GatewayProto.EndpointNews;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Spells changes of endpoints for other daemons.
 *
 * <p>A leaving endpoint is named by its id alone, since the others know the rest. A reclaim changes
 * all entries of a failure domain at once, and each of the readers tells every daemon over a link
 * of 10 Mbit/s: whole entries filled it, and half of the news of each reclaim was lost.
 */
final class EndpointChangeCodec {

    /** Bytes of changes in one datagram, so that it travels in one packet. */
    private static final int MAX_BYTES_PER_DATAGRAM = 1_150;

    private EndpointChangeCodec() {}

    static List<EndpointNews> encode(final List<EndpointChange> changes) {
        final List<EndpointNews> all = new ArrayList<>();
        EndpointNews.Builder news = EndpointNews.newBuilder();
        int bytes = 0;
        for (final EndpointChange change : changes) {
            final EndpointChangeRecord record = encode(change);
            if (bytes > 0 && bytes + record.getSerializedSize() > MAX_BYTES_PER_DATAGRAM) {
                all.add(news.build());
                news = EndpointNews.newBuilder();
                bytes = 0;
            }
            news.addChanges(record);
            bytes += record.getSerializedSize();
        }
        if (bytes > 0) {
            all.add(news.build());
        }
        return all;
    }

    private static EndpointChangeRecord encode(final EndpointChange change) {
        final EndpointChangeRecord.Builder record =
                EndpointChangeRecord.newBuilder().setId(change.id()).setOffset(change.offset());
        change.entry().ifPresent(entry -> setEntryFields(entry, record));
        return record.build();
    }

    private static void setEntryFields(
            final EndpointEntry entry, final EndpointChangeRecord.Builder record) {
        entry.leavesIn().ifPresent(left -> record.setLeavesInMillis(left.toMillis()));
        entry.startedAt().ifPresent(start -> record.setStartedMillis(start.toEpochMilli()));
        record.setLeaving(entry.leaving());
        if (entry.leaving()) {
            return;
        }
        record.setService(entry.service())
                .setVersion(entry.version())
                .setAddress(Addresses.format(entry.address()))
                .setDomain(entry.domain())
                .setSlots(entry.slots())
                .setReclaimable(entry.reclaimable())
                .setColdMillis(entry.coldFor().toMillis());
    }

    /**
     * Reads changes.
     *
     * @param news the changes as they were sent
     * @param known finds the entry of an endpoint that is known here
     * @return the changes; without those of leaving endpoints that are not known here
     * @throws IllegalArgumentException if one can't be understood
     */
    static List<EndpointChange> decode(
            final EndpointNews news, final Function<String, Optional<EndpointEntry>> known) {
        final List<EndpointChange> changes = new ArrayList<>();
        for (final EndpointChangeRecord record : news.getChangesList()) {
            final Optional<EndpointEntry> entry =
                    record.getLeaving() ? decodeLeaving(record, known) : decodeEntry(record);
            if (entry.isPresent() || !record.getLeaving()) {
                changes.add(new EndpointChange(record.getId(), record.getOffset(), entry));
            }
        }
        return changes;
    }

    private static Optional<EndpointEntry> decodeLeaving(
            final EndpointChangeRecord record,
            final Function<String, Optional<EndpointEntry>> known) {
        return known.apply(record.getId())
                .filter(entry -> entry.startedAt().equals(startedAt(record)))
                .map(entry -> entry.asLeaving(leavesIn(record)));
    }

    private static Optional<EndpointEntry> decodeEntry(final EndpointChangeRecord record) {
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
