package org.whinhead.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import org.whinhead.gateway.generated.GatewayProto.RolloutEvidenceRecord;
import org.whinhead.gateway.generated.GatewayProto.RolloutRecordEntry;
import org.whinhead.gateway.generated.GatewayProto.RolloutStateRecord;
import org.whinhead.gateway.generated.GatewayProto.RolloutStepRecord;
import org.whinhead.gateway.generated.GatewayProto.RouteOutcomesRecord;
import org.whinhead.gateway.generated.GatewayProto.RouteShareRecord;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutState;
import org.whinhead.serving.rollout.RolloutStep;
import org.whinhead.serving.rollout.RouteOutcomes;
import org.whinhead.serving.rollout.RouteShare;

/** Encodes and decodes rollout messages between daemons and rollout records of the store. */
public final class RolloutCodec {

    private RolloutCodec() {}

    static RolloutStepRecord encode(final RolloutStep step) {
        final RolloutStepRecord.Builder record =
                RolloutStepRecord.newBuilder()
                        .setService(step.service())
                        .setOrder(step.order())
                        .setToken(step.token())
                        .setSequence(step.sequence())
                        .setState(encode(step.state()))
                        .setShare(step.share())
                        .setOldStopsInMillis(step.oldStopsIn().toMillis());
        for (final RouteShare route : step.routes()) {
            record.addRoutes(
                    RouteShareRecord.newBuilder().setRoute(route.route()).setShare(route.share()));
        }
        return record.build();
    }

    static RolloutStep decode(final RolloutStepRecord record) {
        return new RolloutStep(
                record.getService(),
                record.getOrder(),
                record.getToken(),
                record.getSequence(),
                decode(record.getState()),
                record.getShare(),
                record.getRoutesList().stream()
                        .map(route -> new RouteShare(route.getRoute(), route.getShare()))
                        .toList(),
                Duration.ofMillis(record.getOldStopsInMillis()));
    }

    static RolloutEvidenceRecord encode(final RolloutEvidence evidence) {
        final RolloutEvidenceRecord.Builder record =
                RolloutEvidenceRecord.newBuilder()
                        .setService(evidence.service())
                        .setOrder(evidence.order())
                        .setDaemon(evidence.daemon());
        for (final RouteOutcomes outcomes : evidence.outcomes()) {
            record.addOutcomes(
                    RouteOutcomesRecord.newBuilder()
                            .setRoute(outcomes.route())
                            .setOnTrial(outcomes.canary())
                            .setSent(outcomes.sent())
                            .setFailed(outcomes.failed())
                            .addAllTimes(outcomes.times()));
        }
        return record.build();
    }

    static RolloutEvidence decode(final RolloutEvidenceRecord record) {
        return new RolloutEvidence(
                record.getService(),
                record.getOrder(),
                record.getDaemon(),
                record.getOutcomesList().stream().map(RolloutCodec::decode).toList());
    }

    private static RouteOutcomes decode(final RouteOutcomesRecord record) {
        return new RouteOutcomes(
                record.getRoute(),
                record.getOnTrial(),
                record.getSent(),
                record.getFailed(),
                record.getTimesList());
    }

    /**
     * Encodes a rollout record for the store.
     *
     * @param record the rollout
     * @return the value of the store's record
     */
    public static byte[] encodeStored(final RolloutRecord record) {
        return RolloutRecordEntry.newBuilder()
                .setService(record.service())
                .setVersion(record.version())
                .setOrder(record.order())
                .setStartedMillis(record.startedAt().toEpochMilli())
                .setState(encode(record.state()))
                .build()
                .toByteArray();
    }

    /**
     * Decodes a rollout record of the store.
     *
     * @param value the value of the store's record
     * @return the rollout
     * @throws InvalidProtocolBufferException if the value is not readable
     * @throws IllegalArgumentException if a part is missing or the state is unknown
     */
    public static RolloutRecord decodeStored(final byte[] value)
            throws InvalidProtocolBufferException {
        final RolloutRecordEntry entry = RolloutRecordEntry.parseFrom(value);
        return new RolloutRecord(
                entry.getService(),
                entry.getVersion(),
                entry.getOrder(),
                Instant.ofEpochMilli(entry.getStartedMillis()),
                decode(entry.getState()));
    }

    private static RolloutStateRecord encode(final RolloutState state) {
        return switch (state) {
            case RUNNING -> RolloutStateRecord.RUNNING;
            case COMPLETED -> RolloutStateRecord.COMPLETED;
            case ROLLED_BACK -> RolloutStateRecord.ROLLED_BACK;
        };
    }

    private static RolloutState decode(final RolloutStateRecord state) {
        return switch (state) {
            case RUNNING -> RolloutState.RUNNING;
            case COMPLETED -> RolloutState.COMPLETED;
            case ROLLED_BACK -> RolloutState.ROLLED_BACK;
            default -> throw new IllegalArgumentException("unknown rollout state");
        };
    }
}
