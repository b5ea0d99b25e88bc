package org.whinhead.daemon.engine;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;
import org.whinhead.clients.http.HttpCall;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.http.OutgoingRequest;
import org.whinhead.clients.http.ResponseListener;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.request.LiveRequest;
import org.whinhead.daemon.request.RequestBody;
import org.xnio.XnioIoThread;

/** Starts and cancels attempts at endpoints; called on the decision thread, does not block. */
public final class AttemptTransport {

    private static final String JSON = "application/json";
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String STREAMS_PATH = "/v1/streams/";
    private static final String EXPORT_SUFFIX = "/export";
    private static final String IMPORT_PATH = "/v1/streams/import";
    private static final String REQUEST_HEADER = "X-Request-Id";
    private static final String ATTEMPT_HEADER = "X-Attempt";
    private static final String LAST_EVENT_HEADER = "Last-Event-ID";
    private static final String IDEMPOTENCY_HEADER = "Idempotency-Key";

    private final HttpCaller mCaller;
    private final DecisionLoop mLoop;
    private final Duration mConnectTimeout;
    private final Duration mSilenceTimeout;
    private final Map<AttemptId, HttpCall> mCalls = new ConcurrentHashMap<>();

    /**
     * Creates a transport.
     *
     * @param caller the HTTP client
     * @param loop receives the events of attempts
     * @param connectTimeout the timeout for connecting
     * @param silenceTimeout the longest time that an endpoint may send nothing
     */
    public AttemptTransport(
            final HttpCaller caller,
            final DecisionLoop loop,
            final Duration connectTimeout,
            final Duration silenceTimeout) {
        mCaller = caller;
        mLoop = loop;
        mConnectTimeout = connectTimeout;
        mSilenceTimeout = silenceTimeout;
    }

    /**
     * Sends a chat request.
     *
     * @param request the request
     * @param attempt the attempt
     * @param endpoint the engine
     * @param deliveredText text that the caller already has; empty to start over
     * @param deliveredTokens the number of tokens of that text
     */
    public void generate(
            final LiveRequest request,
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        if (!(request.body() instanceof RequestBody.Chat chat)) {
            throw new IllegalStateException(
                    attempt + ": a call of a plain service cannot generate");
        }
        final OutgoingRequest outgoing =
                requestBuilder(endpoint.uri(), CHAT_PATH, attempt)
                        .method(Methods.POST)
                        .body(chat.encoder().encode(deliveredText, deliveredTokens), JSON)
                        .build();
        start(
                attempt,
                outgoing,
                request.thread(),
                EngineEventConverter.opening(publisher(attempt)));
    }

    /**
     * Reads a stream that the engine still holds.
     *
     * @param request the request
     * @param attempt the attempt
     * @param endpoint the engine
     * @param streamId the engine's id of the stream
     * @param fromIndex the index of the first token to read, at least 0
     */
    public void resume(
            final LiveRequest request,
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        final OutgoingRequest.Builder builder =
                requestBuilder(endpoint.uri(), STREAMS_PATH + streamId, attempt);
        if (fromIndex > 0) {
            builder.header(LAST_EVENT_HEADER, Long.toString(fromIndex - 1));
        }
        start(
                attempt,
                builder.build(),
                request.thread(),
                EngineEventConverter.resuming(publisher(attempt), streamId));
    }

    /**
     * Moves a stream's KV cache to another engine.
     *
     * @param request the request
     * @param attempt the new attempt, at the receiving engine
     * @param from the engine that leaves
     * @param streamId the id of the stream at the engine that leaves
     * @param to the receiving engine
     */
    public void move(
            final LiveRequest request,
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        final OutgoingRequest export =
                requestBuilder(from.uri(), STREAMS_PATH + streamId + EXPORT_SUFFIX, attempt)
                        .method(Methods.POST)
                        .build();
        final AttemptEventPublisher publisher = publisher(attempt);
        final CacheExport exportListener =
                new CacheExport(
                        publisher,
                        cache ->
                                start(
                                        attempt,
                                        importRequest(attempt, to, cache),
                                        request.thread(),
                                        new CacheImport(publisher)));
        start(attempt, export, request.thread(), exportListener);
    }

    private OutgoingRequest importRequest(
            final AttemptId attempt, final Endpoint to, final byte[] cache) {
        return requestBuilder(to.uri(), IMPORT_PATH, attempt)
                .method(Methods.POST)
                .body(cache, "application/octet-stream")
                .build();
    }

    /**
     * Calls a plain service.
     *
     * @param request the request
     * @param attempt the attempt
     * @param endpoint the service
     */
    public void call(final LiveRequest request, final AttemptId attempt, final Endpoint endpoint) {
        if (!(request.body() instanceof RequestBody.Plain plain)) {
            throw new IllegalStateException(
                    attempt + ": a chat request cannot call a plain service");
        }
        final OutgoingRequest outgoing =
                requestBuilder(endpoint.uri(), plain.path(), attempt)
                        .method(new HttpString(plain.method()))
                        .header(IDEMPOTENCY_HEADER, plain.idempotencyKey())
                        .body(plain.body(), plain.contentType())
                        .build();
        start(attempt, outgoing, request.thread(), new ServiceResponse(publisher(attempt)));
    }

    /**
     * Cancels an attempt, also at its endpoint if the stream's id is known.
     *
     * @param attempt the attempt
     * @param endpoint the endpoint that runs the attempt
     * @param streamId the endpoint's id of the stream; empty if not known yet
     */
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        release(attempt);
        if (!streamId.isEmpty()) {
            final OutgoingRequest delete =
                    requestBuilder(endpoint.uri(), STREAMS_PATH + streamId, attempt)
                            .method(Methods.DELETE)
                            .build();
            mCaller.start(delete, new IgnoredResponse());
        }
    }

    /**
     * Stops reading an attempt's answer; the attempt continues at its endpoint.
     *
     * @param attempt the attempt
     */
    public void release(final AttemptId attempt) {
        final HttpCall call = mCalls.remove(attempt);
        if (call != null) {
            call.cancel();
        }
    }

    /** Returns the number of active calls, for metrics. */
    public int activeCalls() {
        return mCalls.size();
    }

    private AttemptEventPublisher publisher(final AttemptId attempt) {
        return new AttemptEventPublisher(attempt, mLoop, () -> mCalls.remove(attempt));
    }

    private void start(
            final AttemptId attempt,
            final OutgoingRequest outgoing,
            final XnioIoThread thread,
            final ResponseListener listener) {
        final HttpCall call = mCaller.prepare(outgoing, thread, listener);
        mCalls.put(attempt, call);
        call.begin();
    }

    private OutgoingRequest.Builder requestBuilder(
            final URI base, final String path, final AttemptId attempt) {
        return OutgoingRequest.to(base, path)
                .header(REQUEST_HEADER, toAscii(attempt.request().value()))
                .header(ATTEMPT_HEADER, Integer.toString(attempt.number()))
                .connectTimeout(mConnectTimeout)
                .silenceTimeout(mSilenceTimeout);
    }

    private static String toAscii(final String value) {
        return new String(value.getBytes(StandardCharsets.US_ASCII), StandardCharsets.US_ASCII);
    }
}
