package org.whinhead.gateway.quota;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Instant;
import java.util.List;
import org.whinhead.gateway.generated.GatewayProto.ShareSlotRecord;
import org.whinhead.gateway.generated.GatewayProto.ShareTableRecord;
import org.whinhead.gateway.generated.GatewayProto.TokenAnswerRecord;
import org.whinhead.gateway.generated.GatewayProto.TokenAskRecord;
import org.whinhead.gateway.generated.GatewayProto.TokenOutcomeRecord;
import org.whinhead.gateway.peers.Addresses;
import org.whinhead.serving.quota.ShareTable;
import org.whinhead.serving.quota.TokenRequest;
import org.whinhead.serving.quota.TokenResponse;

/** Encodes and decodes token requests, their responses and the table of shares. */
final class QuotaCodec {

    private QuotaCodec() {}

    static TokenAskRecord encode(final String claimant, final TokenRequest request) {
        return TokenAskRecord.newBuilder()
                .setClaimant(claimant)
                .setId(request.id())
                .setCustomer(request.customer())
                .setSlot(request.slot())
                .setTokens(request.tokens())
                .setLight(request.light())
                .setClaimTokens(request.claimTokens())
                .build();
    }

    static TokenRequest decode(final TokenAskRecord record) {
        return new TokenRequest(
                record.getId(),
                record.getCustomer(),
                record.getSlot(),
                record.getTokens(),
                Math.max(record.getClaimTokens(), record.getTokens()),
                record.getLight());
    }

    static TokenAnswerRecord encode(final String claimant, final TokenResponse response) {
        return TokenAnswerRecord.newBuilder()
                .setClaimant(claimant)
                .setId(response.id())
                .setCustomer(response.customer())
                .setSlot(response.slot())
                .setOutcome(encode(response.outcome()))
                .setLevel(response.level())
                .setGainPerSecond(response.gainPerSecond())
                .build();
    }

    private static TokenOutcomeRecord encode(final TokenResponse.Outcome outcome) {
        return switch (outcome) {
            case ISSUED -> TokenOutcomeRecord.ISSUED;
            case TOO_FEW -> TokenOutcomeRecord.TOO_FEW;
            case NOT_HELD -> TokenOutcomeRecord.NOT_HELD;
        };
    }

    static TokenResponse decode(final TokenAnswerRecord record) {
        return new TokenResponse(
                record.getId(),
                record.getCustomer(),
                record.getSlot(),
                decode(record.getOutcome()),
                record.getLevel(),
                record.getGainPerSecond());
    }

    /** Treats an outcome of a later version as not held, so that no tokens are spent for it. */
    private static TokenResponse.Outcome decode(final TokenOutcomeRecord record) {
        return switch (record) {
            case ISSUED -> TokenResponse.Outcome.ISSUED;
            case TOO_FEW -> TokenResponse.Outcome.TOO_FEW;
            case NOT_HELD, UNRECOGNIZED -> TokenResponse.Outcome.NOT_HELD;
        };
    }

    static byte[] encode(final ShareTable table) {
        final ShareTableRecord.Builder record =
                ShareTableRecord.newBuilder()
                        .setVersion(table.version())
                        .setDaemons(table.daemons());
        for (final ShareTable.Slot slot : table.slots()) {
            record.addSlots(
                    ShareSlotRecord.newBuilder()
                            .setHolder(Addresses.format(slot.holder()))
                            .setActiveFromMillis(slot.activeFrom().toEpochMilli()));
        }
        return record.build().toByteArray();
    }

    static ShareTable decodeTable(final byte[] bytes) throws InvalidProtocolBufferException {
        final ShareTableRecord record = ShareTableRecord.parseFrom(bytes);
        final List<ShareTable.Slot> slots =
                record.getSlotsList().stream()
                        .map(
                                slot ->
                                        new ShareTable.Slot(
                                                Addresses.parse(slot.getHolder()),
                                                Instant.ofEpochMilli(slot.getActiveFromMillis())))
                        .toList();
        return new ShareTable(record.getVersion(), record.getDaemons(), slots);
    }
}
