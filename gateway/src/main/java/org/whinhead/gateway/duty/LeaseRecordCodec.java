package org.whinhead.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.whinhead.gateway.generated.GatewayProto.DutyRecord;
import org.whinhead.gateway.generated.GatewayProto.UsageDecisionRecord;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.UsageDecision;

/** Spells the lease as bytes. */
final class LeaseRecordCodec {

    private LeaseRecordCodec() {}

    static byte[] encode(final LeaseRecord lease) {
        final DutyRecord.Builder record =
                DutyRecord.newBuilder()
                        .setHolder(lease.holder())
                        .setToken(lease.token())
                        .setBeat(lease.beat());
        for (final UsageDecision decision : lease.decisions()) {
            record.addDecisions(
                    UsageDecisionRecord.newBuilder()
                            .setWindow(decision.window())
                            .setDelivered(decision.delivered())
                            .putAllCounts(decision.counts()));
        }
        return record.build().toByteArray();
    }

    static LeaseRecord decode(final byte[] bytes) throws InvalidProtocolBufferException {
        final DutyRecord record = DutyRecord.parseFrom(bytes);
        final List<UsageDecision> decisions =
                record.getDecisionsList().stream()
                        .map(
                                decision ->
                                        new UsageDecision(
                                                decision.getWindow(),
                                                decision.getCountsMap(),
                                                decision.getDelivered()))
                        .toList();
        return new LeaseRecord(record.getHolder(), record.getToken(), record.getBeat(), decisions);
    }
}
