package org.whinhead.bench.capacity;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentPath;
import org.whinhead.settings.deployment.DocumentValidator;
import org.whinhead.settings.deployment.StoredDocument;
import org.whinhead.state.checkpoint.CheckpointCodec;
import org.whinhead.state.checkpoint.CheckpointException;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.fold.LogFold;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.settings.SettingsLedger;
import org.whinhead.state.settings.SettingsState;
import org.whinhead.state.settings.SettingsValidator;

/** Measures settings changes, their validation, the memory of documents, and checkpoints. */
public final class SettingsCost extends RoleCost {

    private static final int[] DOCUMENT_COUNTS = {250, 500, 1000, 2000};
    private static final int[] REVISION_COUNTS = {1, 8, 32, 64};
    private static final int RETENTION_DOCUMENTS = 500;
    private static final int[] OUTCOME_COUNTS = {1, 5_000, 10_000, 20_000};
    private static final int MAX_OUTCOMES = 20_000;
    private static final int REVISIONS_PER_PATH = 64;
    private static final int INCARNATIONS = 1_000;
    private static final String TIER = "/tiers/clerk";

    @Override
    public String name() {
        return "capacity-settings";
    }

    @Override
    public String description() {
        return "CPU, bytes and memory of settings by documents";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        measureChanges(meter, out);
        measureRetention(meter, out);
        final Series outcomes = new Series("fold's memory", "outcomes kept", "bytes");
        for (final int count : OUTCOME_COUNTS) {
            outcomes.add(count, meter.measureRetainedBytes(() -> new Daemon(1, count, count)));
        }
        out.print(outcomes);
    }

    private static void measureChanges(final Meter meter, final SeriesPrinter out) {
        final Series change = new Series("one change on the log", "documents", "bytes");
        final Series fold = new Series("change written, read, folded", "documents", "ns a change");
        final Series rules = new Series("change checked by the rules", "documents", "ns a check");
        final Series usable = new Series("documents made usable", "documents", "ns a change");
        for (final int documents : DOCUMENT_COUNTS) {
            final Daemon daemon = new Daemon(documents, 1, MAX_OUTCOMES);
            fold.add(documents, meter.measureCpuNanos(daemon::change));
            change.add(documents, Spread.exact(daemon.bytesOfChange()));
            final DeploymentSettings parsed = parsed(documents);
            rules.add(documents, meter.measureCpuNanos(() -> check(parsed)));
            usable.add(documents, meter.measureCpuNanos(() -> replace(parsed)));
        }
        out.print(change, fold, rules, usable);
    }

    private static void measureRetention(final Meter meter, final SeriesPrinter out) {
        final Series memory = new Series("fold's memory", "revisions kept", "bytes");
        final Series size = new Series("checkpoint", "revisions kept", "bytes");
        final Series write = new Series("checkpoint written", "revisions kept", "ns");
        final Series read = new Series("checkpoint read", "revisions kept", "ns");
        final CheckpointCodec codec = new CheckpointCodec();
        for (final int revisions : REVISION_COUNTS) {
            final int kept = RETENTION_DOCUMENTS * revisions;
            final FoldState state =
                    new Daemon(RETENTION_DOCUMENTS, revisions, 1).mFold.view().state();
            final byte[] bytes = codec.encode(state);
            size.add(kept, Spread.exact(bytes.length));
            write.add(kept, meter.measureCpuNanos(() -> codec.encode(state).length > 0 ? 1 : 0));
            read.add(kept, meter.measureCpuNanos(() -> decode(codec, bytes)));
            memory.add(
                    kept,
                    meter.measureRetainedBytes(
                            () -> new Daemon(RETENTION_DOCUMENTS, revisions, 1)));
        }
        out.print(memory, size, write, read);
    }

    private static long decode(final CheckpointCodec codec, final byte[] bytes) {
        try {
            return codec.decode(bytes).asOf() > 0 ? 1 : 0;
        } catch (final CheckpointException e) {
            throw new IllegalStateException("cannot decode a checkpoint that was just encoded", e);
        }
    }

    private static String path(final int number) {
        return "/teams/team" + number / 20 + "/customers/customer" + number;
    }

    private static String document(final int number, final long weight) {
        return "{\"schema\":1,\"tier\":\""
                + TIER
                + "\",\"keyHashes\":[\"sha256:"
                + String.format("%064x", number)
                + "\"],\"weight\":"
                + (1 + weight % 100)
                + ",\"tokensPerSecond\":2500}";
    }

    private static DeploymentSettings parsed(final int documents) {
        final List<StoredDocument> stored = new ArrayList<>();
        stored.add(
                stored(
                        TIER,
                        "{\"schema\":1,\"priority\":2,\"firstTokenMillis\":1400,"
                                + "\"betweenTokensMillis\":72,\"timeoutMillis\":120000,"
                                + "\"availability\":0.999,\"latencyShare\":0.95}"));
        for (int i = 0; i < documents; i++) {
            stored.add(stored(path(i), document(i, 1)));
        }
        return DeploymentSettings.of(stored);
    }

    private static StoredDocument stored(final String path, final String text) {
        return new StoredDocument(DocumentPath.parse(path), text, 0);
    }

    private static long check(final DeploymentSettings parsed) {
        if (!DocumentValidator.validate(path(7), Optional.of(document(7, 2)), parsed)
                .canTakeEffect()) {
            throw new IllegalStateException("a valid document was rejected");
        }
        return 1;
    }

    private static long replace(final DeploymentSettings parsed) {
        return parsed.with(stored(path(7), document(7, 2))).documents().isEmpty() ? 0 : 1;
    }

    /** A log fold that has applied a number of revisions of each document. */
    private static final class Daemon {
        private final LoopbackLog mLog = new LoopbackLog();
        private final LogFold mFold;
        private final long[] mRevisions;
        private long mChanges;

        Daemon(final int documents, final int revisions, final int outcomes) {
            mFold =
                    new LogFold(
                            new SettingsLedger(
                                    new PermissiveValidator(),
                                    (author, path, current) -> true,
                                    new SettingsLedger.Limits(REVISIONS_PER_PATH, outcomes)),
                            INCARNATIONS);
            mRevisions = new long[documents];
            Arrays.fill(mRevisions, LogRecord.NONE);
            for (int i = 0; i < documents * revisions; i++) {
                change();
            }
        }

        long change() {
            final int number = (int) (mChanges % mRevisions.length);
            final long weight = mChanges++;
            final Instant now = Fixtures.START.plusSeconds(mChanges);
            mLog.writer()
                    .offer(
                            id ->
                                    new LogRecord.SettingChanged(
                                            id,
                                            "change-" + weight,
                                            path(number),
                                            mRevisions[number],
                                            Optional.of(document(number, weight)),
                                            "deployer",
                                            "weight of the week",
                                            now),
                            now);
            for (final LogEntry entry : mLog.flush(now)) {
                if (mFold.apply(entry) != LogFold.ApplyResult.NEW) {
                    throw new IllegalStateException("the log entry was not applied as new");
                }
                mRevisions[number] = entry.offset();
            }
            return 1;
        }

        long bytesOfChange() {
            final long before = mLog.bytes();
            change();
            return mLog.bytes() - before;
        }
    }

    /** Accepts every change, since the cost of validation is measured separately. */
    private static final class PermissiveValidator implements SettingsValidator {
        @Override
        public boolean supports(final int rules) {
            return true;
        }

        @Override
        public List<String> findProblems(
                final int rules,
                final String path,
                final Optional<String> document,
                final SettingsState current) {
            return List.of();
        }
    }
}
