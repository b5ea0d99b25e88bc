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
 * Encodes endpoint changes for other daemons and decodes them.
 *
 * <p>The record of a leaving endpoint omits what other daemons know: a reclaim changes all entries
 * of a failure domain at once, and complete ones would saturate a reader's link of 10 Mbit/s.
 */
final class EndpointChangeCodec {

    /** Maximum size of the changes in a datagram, so that it fits into one packet. */
    private static final int MAX_BYTES_PER_DATAGRAM = 1_150;

    private EndpointChangeCodec() {}

    static List<EndpointNews> encode(final List<EndpointChange> changes) {
        final List<EndpointNews> messages = new ArrayList<>();
        EndpointNews.Builder message = EndpointNews.newBuilder();
        int bytes = 0;
        for (final EndpointChange change : changes) {
            final EndpointChangeRecord record = encode(change);
            if (bytes > 0 && bytes + record.getSerializedSize() > MAX_BYTES_PER_DATAGRAM) {
                messages.add(message.build());
                message = EndpointNews.newBuilder();
                bytes = 0;
            }
            message.addChanges(record);
            bytes += record.getSerializedSize();
        }
        if (bytes > 0) {
            messages.add(message.build());
        }
        return messages;
    }

    private static EndpointChangeRecord encode(final EndpointChange change) {
        final EndpointChangeRecord.Builder record =
                EndpointChangeRecord.newBuilder().setId(change.id()).setOffset(change.offset());
        change.entry().ifPresent(entry -> setEntryFields(entry, record));
        return record.build();
    }

    private static void setEntryFields(
            final EndpointEntry entry, final EndpointChangeRecord.Builder record) {
        entry.leavesIn().ifPresent(remaining -> record.setLeavesInMillis(remaining.toMillis()));
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
     * Decodes changes.
     *
     * @param message the changes as they were sent
     * @param findKnown finds the entry of an endpoint that this daemon knows
     * @return the changes, without those of leaving endpoints that this daemon doesn't know
     * @throws IllegalArgumentException if a change is not readable
     */
    static List<EndpointChange> decode(
            final EndpointNews message, final Function<String, Optional<EndpointEntry>> findKnown) {
        final List<EndpointChange> changes = new ArrayList<>();
        for (final EndpointChangeRecord record : message.getChangesList()) {
            final Optional<EndpointEntry> entry =
                    record.getLeaving() ? decodeLeaving(record, findKnown) : decodeEntry(record);
            if (entry.isPresent() || !record.getLeaving()) {
                changes.add(new EndpointChange(record.getId(), record.getOffset(), entry));
            }
        }
        return changes;
    }

    private static Optional<EndpointEntry> decodeLeaving(
            final EndpointChangeRecord record,
            final Function<String, Optional<EndpointEntry>> findKnown) {
        return findKnown
                .apply(record.getId())
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
