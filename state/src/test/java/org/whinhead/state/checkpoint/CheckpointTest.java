package org.whinhead.state.checkpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;
import org.whinhead.state.record.RecordSink;

class CheckpointTest {

    // Guards against a daemon that starts from an old checkpoint. A writer crashes between two
    // parts, another one writes a newer checkpoint, and the last part of the first is appended
    // late.
    @Test
    void incompleteAndLateOlderCheckpointsAreIgnored() {
        final List<LogRecord.Checkpoint> older = publish(state(5));
        final List<LogRecord.Checkpoint> newer = publish(state(9));
        assertThat(older).hasSizeGreaterThan(2);
        final CheckpointAssembler assembler = new CheckpointAssembler();
        older.subList(1, older.size()).forEach(assembler::addPart);
        assertThat(assembler.newest()).isEmpty();
        newer.forEach(assembler::addPart);
        assertThat(assembler.newest()).contains(state(9));
        assertThat(assembler.addPart(older.get(0))).isEmpty();
        assertThat(assembler.newest()).contains(state(9));
    }

    // Guards against checkpoints that lack accepted changes. A daemon started from a peer's state
    // during a log outage, or dropped records of a newer kind.
    @Test
    void onlyCompleteStateFromLogIsPublished() {
        assertThat(publish(new FoldView(state(5), FoldView.Source.PEER, true, false))).isEmpty();
        final FoldState lost =
                new FoldState(
                        5,
                        List.of(),
                        state(5).settings(),
                        Map.of(),
                        Map.of(),
                        Map.of(),
                        List.of(),
                        List.of(),
                        true);
        assertThat(publish(lost)).isEmpty();
    }

    private static FoldState state(final long asOf) {
        return new FoldState(
                asOf,
                List.of(new RecordId(new DaemonId("daemon"), asOf)),
                FoldState.EMPTY.settings(),
                Map.of(),
                Map.of("fleet", Map.of("order", "{}")),
                Map.of("vm", Instant.EPOCH),
                List.of(),
                List.of(),
                false);
    }

    private static List<LogRecord.Checkpoint> publish(final FoldState state) {
        return publish(new FoldView(state, FoldView.Source.LOG, true, false));
    }

    private static List<LogRecord.Checkpoint> publish(final FoldView view) {
        final List<LogRecord.Checkpoint> parts = new ArrayList<>();
        final RecordSink sink =
                new RecordSink() {
                    @Override
                    public Optional<RecordId> offer(
                            final Function<RecordId, LogRecord> record, final Instant now) {
                        final RecordId id = new RecordId(new DaemonId("w"), parts.size() + 1L);
                        parts.add((LogRecord.Checkpoint) record.apply(id));
                        return Optional.of(id);
                    }

                    @Override
                    public boolean isIdle() {
                        return true;
                    }
                };
        new CheckpointPublisher(sink, Duration.ofMinutes(1), 64).publishIfDue(view, Instant.EPOCH);
        return parts;
    }
}
