package org.whinhead.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;

/** Serves an {@link EngineSimulation} over the engines' HTTP protocol. */
public final class EngineStandIn implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String RETRY_AFTER = "Retry-After";
    private static final String STREAM_ID = "X-Stream-Id";
    private static final int DEFAULT_MAX_EVENTS = 1000;

    private final EngineConfig mConfig;
    private final StandInContext mContext;
    private final StandInServer mServer;
    private final EngineSimulation mSimulation;
    private final OrderHandler mOrders;
    private final List<StreamSender> mSenders = new ArrayList<>();
    private final Runnable mRemoveTask;

    private EngineStandIn(final EngineConfig config, final StandInContext context) {
        mConfig = config;
        mContext = context;
        mServer = new StandInServer(config.host(), config.port());
        mSimulation = new EngineSimulation(config, context.workCounter());
        mOrders = new OrderHandler(config);
        routes();
        mRemoveTask = context.ticker().add(this::tick);
    }

    /**
     * Starts an engine server.
     *
     * @param config the engine's settings
     * @param context the clock and counters shared in the process
     * @return the listening engine
     */
    public static EngineStandIn start(final EngineConfig config, final StandInContext context) {
        final EngineStandIn engine = new EngineStandIn(config, context);
        engine.mServer.start();
        return engine;
    }

    /** Returns the base address. */
    public URI uri() {
        return mServer.uri();
    }

    /** Returns the engine's settings. */
    public EngineConfig config() {
        return mConfig;
    }

    /** Fault: closes all connections, refuses new ones and discards all streams. */
    public void kill() {
        mServer.kill();
        synchronized (this) {
            mSimulation.kill();
            mSenders.clear();
        }
    }

    /** Ends {@link #kill}: listens at the same address again, without streams. */
    public void revive() {
        mServer.start();
    }

    /** Fault: while frozen, accepts connections but neither answers calls nor generates tokens. */
    public void freeze(final boolean frozen) {
        mServer.freeze(frozen);
        synchronized (this) {
            mSimulation.freeze(frozen, mContext.ticker().now());
        }
    }

    /**
     * Fault: slows down every step.
     *
     * @param factor the multiplier of a step's duration; 1 ends the fault
     */
    public synchronized void slow(final double factor) {
        mSimulation.slow(factor);
    }

    @Override
    public void close() {
        mRemoveTask.run();
        mServer.close();
    }

    private void routes() {
        mServer.route("POST", "/v1/chat/completions", this::chat)
                .route("GET", "/v1/streams/{id}", this::resume)
                .route("DELETE", "/v1/streams/{id}", this::cancel)
                .route("POST", "/v1/streams/{id}/export", this::export)
                .route("POST", "/v1/streams/import", this::importCache)
                .route("GET", "/v1/load", this::load)
                .route("GET", "/v1/cache/events", this::cacheEvents)
                .route("GET", "/v1/models", mOrders::models)
                .route("POST", "/v1/orders", mOrders::order)
                .route("POST", "/faults", faults())
                .route("GET", "/witness", this::witness);
    }

    private synchronized void tick(final Instant now) {
        mSimulation.advance(now);
        mSenders.removeIf(sender -> !sender.sendAvailable(now));
    }

    private void chat(final StandInCall call) throws IOException {
        final JsonNode body = call.json();
        final String request =
                call.header("X-Request-Id").orElseGet(() -> UUID.randomUUID().toString());
        final Generation generation = ChatBody.parse(request, body);
        if (!mOrders.serves(generation.model())) {
            call.fail(400, "model not loaded: " + generation.model());
            return;
        }
        final Optional<EngineStream> stream = submit(generation);
        if (stream.isEmpty()) {
            call.withHeader(RETRY_AFTER, "1").fail(503, "the queue is full");
        } else if (body.path("stream").asBoolean()) {
            openEvents(call, stream.get(), 0);
        } else {
            addSender(StreamSender.whole(stream.get(), call));
        }
    }

    private synchronized Optional<EngineStream> submit(final Generation generation) {
        return mSimulation.submit(generation, mContext.ticker().now());
    }

    private synchronized void addSender(final StreamSender sender) {
        mSenders.add(sender);
    }

    private void openEvents(final StandInCall call, final EngineStream stream, final long next)
            throws IOException {
        call.withHeader(STREAM_ID, stream.id()).stream(
                connection -> addSender(StreamSender.events(stream, connection, next)));
    }

    private void resume(final StandInCall call) throws IOException {
        final Optional<EngineStream> stream = find(call);
        if (stream.isEmpty()) {
            call.fail(404, "no such stream");
            return;
        }
        final long last = call.header("Last-Event-ID").map(Long::parseLong).orElse(-1L);
        openEvents(call, stream.get(), last + 1);
    }

    private synchronized Optional<EngineStream> find(final StandInCall call) {
        return mSimulation.find(call.parameter("id").orElse(""));
    }

    private synchronized void cancel(final StandInCall call) {
        mSimulation.cancel(call.parameter("id").orElse(""));
        call.reply(204);
    }

    private synchronized void export(final StandInCall call) throws IOException {
        final Optional<KvCache> cache = mSimulation.export(call.parameter("id").orElse(""));
        if (cache.isEmpty()) {
            call.fail(404, "no such stream");
        } else {
            call.reply(MAPPER.writeValueAsBytes(cache.get()));
        }
    }

    private synchronized void importCache(final StandInCall call) throws IOException {
        final KvCache cache = MAPPER.readValue(call.body(), KvCache.class);
        final EngineStream stream = mSimulation.importCache(cache, mContext.ticker().now());
        call.reply(200, StandInCall.object().put("stream_id", stream.id()));
    }

    private synchronized void load(final StandInCall call) {
        final EngineSimulation.Load load = mSimulation.load(mContext.ticker().now());
        call.reply(
                200,
                StandInCall.object()
                        .put("asOf", load.asOf().toString())
                        .put("running", load.running())
                        .put("waiting", load.waiting())
                        .put("tokensPerSecond", load.tokensPerSecond())
                        .put("cachedBlocks", load.cachedBlocks()));
    }

    private synchronized void cacheEvents(final StandInCall call) throws IOException {
        final long after = call.number("after", 0);
        final int max = (int) call.number("max", DEFAULT_MAX_EVENTS);
        final ObjectNode root = StandInCall.object();
        final ArrayNode events = root.putArray("events");
        long next = after;
        for (final EngineSimulation.CacheEvent event :
                mSimulation.cacheEvents(after, max, mContext.ticker().now())) {
            events.addObject()
                    .put("sequence", event.sequence())
                    .put("kind", event.stored() ? "stored" : "evicted")
                    .put("prefixHash", event.prefixHash());
            next = event.sequence();
        }
        call.reply(200, root.put("next", next));
    }

    private FaultHandler faults() {
        return new FaultHandler(mServer)
                .addFaultAfterReply("kill", this::kill)
                .addFault("freeze", body -> freeze(true))
                .addFault("unfreeze", body -> freeze(false))
                .addFault("slow", body -> slow(body.path("factor").asDouble(1)));
    }

    private void witness(final StandInCall call) {
        final ObjectNode root = mContext.workCounter().toJson();
        call.reply(200, root.put("staleOrders", mOrders.staleOrders()));
    }
}
