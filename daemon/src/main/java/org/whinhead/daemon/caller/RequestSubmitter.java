package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.whinhead.daemon.burn.BurnCollector;
import org.whinhead.daemon.burn.MeasuredReply;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.request.LiveRequest;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.request.RequestBody;
import org.xnio.XnioIoThread;

/** Submits validated requests to the decision loop, which answers them from then on. */
final class RequestSubmitter {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long OFFER_RETRY_MILLIS = 5;

    private final LiveRequests mRequests;
    private final DecisionLoop mLoop;
    private final BurnCollector mBurnCollector;
    private final BooleanSupplier mStopping;
    private final int mMaxInProgress;
    private final int mMaxWaitingBytes;

    RequestSubmitter(
            final LiveRequests requests,
            final DecisionLoop loop,
            final BurnCollector burnCollector,
            final BooleanSupplier stopping,
            final int maxInProgress,
            final int maxWaitingBytes) {
        mRequests = requests;
        mLoop = loop;
        mBurnCollector = burnCollector;
        mStopping = stopping;
        mMaxInProgress = maxInProgress;
        mMaxWaitingBytes = maxWaitingBytes;
    }

    /**
     * Checks that the daemon accepts requests.
     *
     * @throws RequestException if the daemon is stopping or has too many requests in progress
     */
    void checkAccepting() throws RequestException {
        if (mStopping.getAsBoolean()) {
            throw refused(ErrorCode.STOPPING, "ask for another address");
        }
        if (mRequests.count() >= mMaxInProgress) {
            throw refused(ErrorCode.OVERLOADED, "too many requests in progress");
        }
    }

    /** Returns whether a request with this id is in progress at this daemon. */
    boolean isInProgress(final RequestId id) {
        return mRequests.find(id).isPresent();
    }

    /**
     * Submits a request; called on its connection's IO thread.
     *
     * @throws RequestException if the decision ring has no room for new requests
     */
    void submit(
            final HttpServerExchange exchange,
            final RequestSpec spec,
            final RequestBody body,
            final AnswerFormat format,
            final Function<LiveRequest, DecisionEvent> event)
            throws RequestException {
        final AtomicReference<LiveRequest> live = new AtomicReference<>();
        final AtomicReference<MeasuredReply> measured = new AtomicReference<>();
        final ExchangeWriter writer =
                new ExchangeWriter(
                        exchange,
                        mMaxWaitingBytes,
                        () -> reportCallerLeft(live.get()),
                        whole -> responseEnded(measured.get(), whole));
        final XnioIoThread thread = exchange.getIoThread();
        measured.set(mBurnCollector.measure(spec, new QueuedReply(thread, format, writer)));
        live.set(new LiveRequest(spec, body, measured.get(), thread));
        if (!mLoop.offerNew(event.apply(live.get()))) {
            throw refused(ErrorCode.OVERLOADED, "the decision ring is full");
        }
        mRequests.responseOpened();
        DisconnectDetector.start(exchange, writer::abort);
    }

    private void responseEnded(final MeasuredReply reply, final boolean whole) {
        mRequests.responseClosed();
        mBurnCollector.recordEnd(reply, whole);
    }

    private static RequestException refused(final ErrorCode code, final String detail) {
        return new RequestException(Refusal.notRun(code, detail).withRetryAfter(RETRY_AFTER));
    }

    /**
     * Reports to the decision loop that a caller left, with retries while the ring is full: a lost
     * report would leave the engine generating in vain.
     */
    private void reportCallerLeft(final LiveRequest request) {
        if (!mLoop.offer(new DecisionEvent.CallerLeft(request))) {
            request.thread()
                    .executeAfter(
                            () -> reportCallerLeft(request),
                            OFFER_RETRY_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
