package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.LimitStatementRecord;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.serving.ratelimit.LimitStatement;

/** Tells the other daemons which limits of requests per second endpoints name. */
final class LimitMessenger {

    private static final Logger LOG = LoggerFactory.getLogger(LimitMessenger.class);

    /** The most statements in a datagram: more would not fit into one packet. */
    static final int MAX_STATEMENTS = 24;

    /** The statements in a report; all are told within a few reports. */
    private static final int STATEMENTS_PER_REPORT = 8;

    private final ServingState mState;
    private final RepeatedNews<String, LimitStatement> mNews;

    LimitMessenger(
            final EventLoop loop, final ServingState state, final Consumer<Datagram> sendToAll) {
        mState = Objects.requireNonNull(state, "state");
        mNews =
                new RepeatedNews<>(
                        loop,
                        LimitStatement::endpoint,
                        MAX_STATEMENTS,
                        statements -> sendToAll.accept(PermitCodec.encodeNews(statements)));
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Tells all other daemons of a new statement. */
    void tell(final LimitStatement statement) {
        mNews.tell(statement);
    }

    /** Applies a datagram if it tells of limits. */
    void receive(final Datagram datagram) {
        if (datagram.hasLimitNews()) {
            final List<LimitStatement> statements =
                    decode(datagram.getLimitNews().getStatementsList());
            statements.forEach(mNews::heard);
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
