package org.whinhead.state.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;

class LogRecordCodecTest {

    private static final DaemonId DAEMON = new DaemonId("d1");
    private static final RecordId ID = new RecordId(DAEMON, 7);
    private static final Instant AT = Instant.parse("2026-01-01T00:00:00.123Z");

    private final LogRecordCodec mCodec = new LogRecordCodec();

    @Test
    void everyRecordKindRoundTrips() throws RecordFormatException {
        final ClaimEntry claim = new ClaimEntry(ClaimEntry.Action.CLAIM, -1, Long.MIN_VALUE, 3);
        final List<LogRecord> records =
                List.of(
                        new LogRecord.SettingChanged(
                                ID, "c", "/a", -1, Optional.of("{\"x\":1}"), "ann", "why", AT),
                        new LogRecord.SettingChanged(
                                ID, "c", "/a", 4, Optional.empty(), "ann", "", AT),
                        new LogRecord.RulesActivated(ID, 2),
                        new LogRecord.LeaseTaken(ID, "fleet", DAEMON, Duration.ofSeconds(9), -1),
                        new LogRecord.LeaseRenewed(ID, "fleet", DAEMON, Duration.ofMillis(1), 0),
                        new LogRecord.LeaseReleased(ID, "fleet", DAEMON, 5),
                        new LogRecord.VmLeaving(ID, new VmId("v"), AT),
                        new LogRecord.BudgetGrant(ID, new CustomerId("k"), DAEMON, 10, 3, AT),
                        new LogRecord.DutyNoted(ID, "fleet", 3, "order", Optional.empty()),
                        new LogRecord.Checkpoint(ID, "cp", 8, 0, 2, "ff", "AA=="),
                        new LogRecord.ClaimBatch(ID, List.of(claim)),
                        new LogRecord.Unknown(ID, "later", "{\"y\":[1,2]}"));
        for (final LogRecord record : records) {
            assertThat(mCodec.decode(mCodec.encode(record))).isEqualTo(record);
        }
    }

    @Test
    void malformedBytesThrowRecordFormatException() {
        for (final String text : List.of("", "[]", "{}", "{\"kind\":\"later\"}", "{\"kind\":")) {
            assertThatThrownBy(() -> mCodec.decode(text.getBytes(StandardCharsets.UTF_8)))
                    .isInstanceOf(RecordFormatException.class);
        }
    }
}
