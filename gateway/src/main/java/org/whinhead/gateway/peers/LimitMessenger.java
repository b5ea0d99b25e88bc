package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.LimitStatementRecord;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.ratelimit.LimitStatement;

/** Tells the other daemons which limits of requests per second endpoints name. */
final class LimitMessenger {

    private static final Logger LOG = LoggerFactory.getLogger(LimitMessenger.class);

    /** The time for which statements are collected, as many endpoints may make one at once. */
    private static final int COLLECT_MILLIS = 2;

    /** The most statements in a datagram: more would not fit into one packet. */
    static final int MAX_STATEMENTS = 24;

    /** The statements in a report; all are told within a few reports. */
    private static final int STATEMENTS_PER_REPORT = 8;

    /** The delays after which a statement is told again that no other daemon has told. */
    private static final int[] REPEAT_MILLIS = {60, 150};

    /** The time after the last repetition. */
    private static final int FORGET_MILLIS = 200;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final Consumer<Datagram> mSendToAll;
    private final Map<String, LimitStatement> mCollected = new LinkedHashMap<>();
    private final Map<String, LimitStatement> mUnrepeated = new LinkedHashMap<>();

    LimitMessenger(
            final EventLoop loop, final ServingState state, final Consumer<Datagram> sendToAll) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mState = Objects.requireNonNull(state, "state");
        mSendToAll = Objects.requireNonNull(sendToAll, "sendToAll");
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Tells all other daemons of a new statement. */
    void tell(final LimitStatement statement) {
        if (mCollected.isEmpty()) {
            schedule(COLLECT_MILLIS, "tell request limits", this::sendCollected);
        }
        mCollected.put(statement.endpoint(), statement);
        mUnrepeated.put(statement.endpoint(), statement);
    }

    private void sendCollected() {
        final List<LimitStatement> statements = List.copyOf(mCollected.values());
        mCollected.clear();
        send(statements);
        for (final int millis : REPEAT_MILLIS) {
            schedule(millis, "repeat request limits", () -> repeat(statements));
        }
        schedule(FORGET_MILLIS, "forget request limits", () -> forget(statements));
    }

    private void schedule(final int millis, final String name, final Runnable task) {
        mLoop.schedule(() -> GuardedTask.run(LOG, name, task), millis, TimeUnit.MILLISECONDS);
    }

    private void repeat(final List<LimitStatement> statements) {
        send(
                statements.stream()
                        .filter(
                                statement ->
                                        statement.equals(mUnrepeated.get(statement.endpoint())))
                        .toList());
    }

    private void forget(final List<LimitStatement> statements) {
        statements.forEach(statement -> mUnrepeated.remove(statement.endpoint(), statement));
    }

    private void send(final List<LimitStatement> statements) {
        for (int from = 0; from < statements.size(); from += MAX_STATEMENTS) {
            final int to = Math.min(from + MAX_STATEMENTS, statements.size());
            mSendToAll.accept(PermitCodec.encodeNews(statements.subList(from, to)));
        }
    }

    /** Applies a datagram if it tells of limits. */
    void receive(final Datagram datagram) {
        if (datagram.hasLimitNews()) {
            final List<LimitStatement> statements =
                    decode(datagram.getLimitNews().getStatementsList());
            statements.forEach(told -> mUnrepeated.remove(told.endpoint(), told));
            apply(statements);
        }
    }

    /** Adds statements to a report, for daemons that have missed them. */
    void addTo(final PeerReport.Builder report) {
        mState.requestLimits()
                .nextReported(STATEMENTS_PER_REPORT, now())
                .forEach(statement -> report.addLimits(PermitCodec.encode(statement)));
    }

    /**
     * Applies the statements of a report. It doesn't end the repetition of a statement: a report is
     * sent to a part of the daemons at a time, and the others have not heard of it by this one.
     */
    void receive(final PeerReport report) {
        apply(decode(report.getLimitsList()));
    }

    private static List<LimitStatement> decode(final List<LimitStatementRecord> records) {
        return records.stream().map(PermitCodec::decode).toList();
    }

    private void apply(final List<LimitStatement> statements) {
        final List<LimitStatement> newHere = new ArrayList<>();
        for (final LimitStatement statement : statements) {
            mState.endpoints()
                    .find(statement.endpoint())
                    .filter(entry -> mState.requestLimits().apply(entry, statement, now()))
                    .ifPresent(entry -> newHere.add(statement));
        }
        if (!newHere.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("statements", newHere)
                    .log("request limits of endpoints learned from another daemon");
        }
    }
}
