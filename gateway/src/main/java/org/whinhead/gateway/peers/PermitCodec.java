package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.LimitNews;
import org.whinhead.gateway.generated.GatewayProto.LimitStatementRecord;
import org.whinhead.gateway.generated.GatewayProto.PermitOutcomeRecord;
import org.whinhead.gateway.generated.GatewayProto.PermitRequestRecord;
import org.whinhead.gateway.generated.GatewayProto.PermitResponseRecord;
import org.whinhead.serving.ratelimit.LimitStatement;
import org.whinhead.serving.ratelimit.PermitOutcome;
import org.whinhead.serving.ratelimit.PermitRequest;
import org.whinhead.serving.ratelimit.PermitResponse;
import org.whinhead.serving.ratelimit.RequestRateLimit;

/** Encodes and decodes limits of requests per second, and the permits that keep to them. */
final class PermitCodec {

    private PermitCodec() {}

    static LimitStatementRecord encode(final LimitStatement statement) {
        final LimitStatementRecord.Builder record =
                LimitStatementRecord.newBuilder()
                        .setEndpoint(statement.endpoint())
                        .setRevision(statement.revision());
        statement.startedAt().ifPresent(at -> record.setStartedMillis(at.toEpochMilli()));
        statement.limit().ifPresent(limit -> record.setPerSecond(limit.perSecond()));
        return record.build();
    }

    static LimitStatement decode(final LimitStatementRecord record) {
        return new LimitStatement(
                record.getEndpoint(),
                record.hasStartedMillis()
                        ? Optional.of(Instant.ofEpochMilli(record.getStartedMillis()))
                        : Optional.empty(),
                record.getRevision(),
                record.hasPerSecond()
                        ? Optional.of(new RequestRateLimit(record.getPerSecond()))
                        : Optional.empty());
    }

    static Datagram encodeNews(final List<LimitStatement> statements) {
        final LimitNews.Builder news = LimitNews.newBuilder();
        statements.forEach(statement -> news.addStatements(encode(statement)));
        return Datagram.newBuilder().setLimitNews(news).build();
    }

    static PermitRequestRecord encode(final PermitRequest request) {
        return PermitRequestRecord.newBuilder()
                .setClaimant(Addresses.format(request.claimant()))
                .setId(request.id())
                .setStatement(encode(request.statement()))
                .setMaxWaitMicros(request.maxWait().toNanos() / 1_000)
                .setForwarded(request.isForwarded())
                .build();
    }

    static PermitRequest decode(final PermitRequestRecord record) {
        return new PermitRequest(
                Addresses.parse(record.getClaimant()),
                record.getId(),
                decode(record.getStatement()),
                Duration.ofNanos(record.getMaxWaitMicros() * 1_000),
                record.getForwarded());
    }

    static PermitResponseRecord encode(final PermitResponse response) {
        return PermitResponseRecord.newBuilder()
                .setClaimant(Addresses.format(response.claimant()))
                .setId(response.id())
                .setOutcome(encode(response.outcome()))
                .setWaitMicros(response.after().toNanos() / 1_000)
                .setStatement(encode(response.statement()))
                .build();
    }

    static PermitResponse decode(final PermitResponseRecord record) {
        return new PermitResponse(
                Addresses.parse(record.getClaimant()),
                record.getId(),
                decode(record.getOutcome()),
                Duration.ofNanos(record.getWaitMicros() * 1_000),
                decode(record.getStatement()));
    }

    private static PermitOutcomeRecord encode(final PermitOutcome outcome) {
        return switch (outcome) {
            case GRANTED -> PermitOutcomeRecord.PERMIT_GRANTED;
            case AT_LIMIT -> PermitOutcomeRecord.PERMIT_AT_LIMIT;
            case NOT_OWNER -> PermitOutcomeRecord.PERMIT_NOT_OWNER;
        };
    }

    private static PermitOutcome decode(final PermitOutcomeRecord record) {
        return switch (record) {
            case PERMIT_GRANTED -> PermitOutcome.GRANTED;
            case PERMIT_AT_LIMIT -> PermitOutcome.AT_LIMIT;
            case PERMIT_NOT_OWNER, UNRECOGNIZED -> PermitOutcome.NOT_OWNER;
        };
    }
}
