package org.whinhead.standins.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;

/** Serves a {@link LogSimulation} over the log's HTTP protocol. */
public final class LogStandIn implements AutoCloseable {

    private static final int DEFAULT_MAX = 1000;

    private final StandInContext mContext;
    private final StandInServer mServer;
    private final LogSimulation mSimulation;
    private final List<PendingRead> mPending = new ArrayList<>();
    private final Runnable mRemoveTask;
    private int mLoseAnswers;
    private int mLoseRequests;

    private LogStandIn(final LogConfig config, final StandInContext context) {
        mContext = context;
        mServer = new StandInServer(config.host(), config.port());
        mSimulation = new LogSimulation(config);
        mServer.route("POST", "/log/{stream}/append", this::append)
                .route("GET", "/log/{stream}/records", this::read)
                .route("POST", "/faults", faults())
                .route("GET", "/witness", this::witness);
        mRemoveTask = context.ticker().add(this::tick);
    }

    /**
     * Starts a log server.
     *
     * @param config the service's settings
     * @param context the clock and counters shared in the process
     * @return the listening service
     */
    public static LogStandIn start(final LogConfig config, final StandInContext context) {
        final LogStandIn log = new LogStandIn(config, context);
        log.mServer.start();
        return log;
    }

    /** Returns the base address. */
    public URI uri() {
        return mServer.uri();
    }

    /** Fault: sets whether appends and reads are refused; an outage also ends pending reads. */
    public synchronized void outage(final boolean out) {
        mSimulation.outage(out);
        tick(mContext.ticker().now());
    }

    /** Fault: delays every call. */
    public void slow(final Duration delay) {
        mServer.setDelay(delay);
    }

    /** Fault: the next appends take effect, but their connections close without a response. */
    public synchronized void loseAnswers(final int count) {
        mLoseAnswers = count;
    }

    /** Fault: closes the connections of the next appends before the appends take effect. */
    public synchronized void loseRequests(final int count) {
        mLoseRequests = count;
    }

    /** Returns the number of appends that took effect. */
    public synchronized long appends() {
        return mSimulation.appends();
    }

    @Override
    public void close() {
        mRemoveTask.run();
        mServer.close();
    }

    private FaultHandler faults() {
        return new FaultHandler(mServer)
                .addFault("outage", body -> outage(true))
                .addFault("recover", body -> outage(false))
                .addFault("lose-answers", body -> loseAnswers(body.path("count").asInt(1)))
                .addFault("lose-requests", body -> loseRequests(body.path("count").asInt(1)));
    }

    private synchronized void append(final StandInCall call) throws IOException {
        final List<String> records = records(call.json());
        if (mLoseRequests > 0) {
            mLoseRequests--;
            call.closeConnection();
            return;
        }
        final Instant now = mContext.ticker().now();
        final LogSimulation.AppendResult appended =
                mSimulation.append(call.parameter("stream").orElseThrow(), records, now);
        if (appended.status() != LogSimulation.Status.OK) {
            call.fail(appended.status().code(), appended.status().name());
        } else if (mLoseAnswers > 0) {
            mLoseAnswers--;
            call.closeConnection();
        } else {
            call.reply(200, StandInCall.object().put("firstOffset", appended.firstOffset()));
        }
        tick(now);
    }

    private static List<String> records(final JsonNode body) throws IOException {
        final List<String> records = new ArrayList<>();
        for (final JsonNode record : body.path("records")) {
            Base64.getDecoder().decode(record.asText());
            records.add(record.asText());
        }
        if (records.isEmpty()) {
            throw new IOException("records is missing");
        }
        return records;
    }

    private synchronized void read(final StandInCall call) throws IOException {
        final Instant now = mContext.ticker().now();
        final Duration wait = Duration.ofMillis(call.number("waitMillis", 0));
        final PendingRead pending =
                new PendingRead(
                        call,
                        call.parameter("stream").orElseThrow(),
                        call.number("from", 0),
                        (int) call.number("max", DEFAULT_MAX),
                        now.plus(wait));
        if (!answer(pending, now)) {
            mPending.add(pending);
        }
    }

    private synchronized void tick(final Instant now) {
        mPending.removeIf(pending -> answer(pending, now));
    }

    private boolean answer(final PendingRead pending, final Instant now) {
        final LogSimulation.ReadResult found =
                mSimulation.read(pending.stream(), pending.from(), pending.max(), now);
        final boolean empty =
                found.status() == LogSimulation.Status.OK && found.records().isEmpty();
        if (empty && pending.until().isAfter(now)) {
            return false;
        }
        pending.call().reply(found.status().code(), json(found));
        return true;
    }

    private static ObjectNode json(final LogSimulation.ReadResult found) {
        final ObjectNode root = StandInCall.object().put("oldest", found.oldest());
        if (found.status() != LogSimulation.Status.OK) {
            return root;
        }
        root.put("next", found.next());
        final ArrayNode records = root.putArray("records");
        for (final LogSimulation.Entry entry : found.records()) {
            records.addObject()
                    .put("offset", entry.offset())
                    .put("data", entry.data())
                    .put("at", entry.at().toString());
        }
        return root;
    }

    private synchronized void witness(final StandInCall call) {
        call.reply(
                200,
                StandInCall.object()
                        .put("appends", mSimulation.appends())
                        .put("overCap", mSimulation.overCap()));
    }

    private record PendingRead(
            StandInCall call, String stream, long from, int max, Instant until) {}
}
