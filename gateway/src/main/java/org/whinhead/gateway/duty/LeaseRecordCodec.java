package org.whinhead.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.gateway.generated.GatewayProto.CustomerCountRecord;
import org.whinhead.gateway.generated.GatewayProto.DutyRecord;
import org.whinhead.gateway.generated.GatewayProto.UsageDecisionRecord;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.UsageDecision;

/** Encodes and decodes the lease record of the store. */
final class LeaseRecordCodec {

    private LeaseRecordCodec() {}

    static byte[] encode(final LeaseRecord lease) {
        final DutyRecord.Builder record =
                DutyRecord.newBuilder()
                        .setHolder(lease.holder())
                        .setToken(lease.token())
                        .setBeat(lease.beat());
        lease.decisions().forEach(decision -> record.addDecisions(encode(decision)));
        return record.build().toByteArray();
    }

    private static UsageDecisionRecord.Builder encode(final UsageDecision decision) {
        final UsageDecisionRecord.Builder record =
                UsageDecisionRecord.newBuilder()
                        .setWindow(decision.window())
                        .setDelivered(decision.delivered());
        decision.counts()
                .forEach(
                        (customer, requests) ->
                                record.addCounts(
                                        CustomerCountRecord.newBuilder()
                                                .setCustomer(customer)
                                                .setRequests(requests)));
        return record;
    }

    static LeaseRecord decode(final byte[] bytes) throws InvalidProtocolBufferException {
        final DutyRecord record = DutyRecord.parseFrom(bytes);
        final List<UsageDecision> decisions =
                record.getDecisionsList().stream().map(LeaseRecordCodec::decode).toList();
        return new LeaseRecord(record.getHolder(), record.getToken(), record.getBeat(), decisions);
    }

    private static UsageDecision decode(final UsageDecisionRecord record) {
        final Map<String, Long> counts = new HashMap<>();
        for (final CustomerCountRecord count : record.getCountsList()) {
            // The last one counts, as with a map field.
            counts.put(count.getCustomer(), count.getRequests());
        }
        return new UsageDecision(record.getWindow(), counts, record.getDelivered());
    }
}
