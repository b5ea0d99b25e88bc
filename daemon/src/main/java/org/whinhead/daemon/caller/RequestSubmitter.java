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

/** Takes checked requests in: from here on the decision thread answers for them. */
final class RequestSubmitter {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final long OFFER_RETRY_MILLIS = 5;

    private final LiveRequests mRequests;
    private final DecisionLoop mLoop;
    private final BurnCollector mBurn;
    private final BooleanSupplier mStopping;
    private final int mMaxInProgress;
    private final int mMaxWaitingBytes;

    RequestSubmitter(
            final LiveRequests requests,
            final DecisionLoop loop,
            final BurnCollector burn,
            final BooleanSupplier stopping,
            final int maxInProgress,
            final int maxWaitingBytes) {
        mRequests = requests;
        mLoop = loop;
        mBurn = burn;
        mStopping = stopping;
        mMaxInProgress = maxInProgress;
        mMaxWaitingBytes = maxWaitingBytes;
    }

    /** Refuses while the daemon stops or has its hands full. */
    void checkAccepting() throws RequestException {
        if (mStopping.getAsBoolean()) {
            throw refused(ErrorCode.STOPPING, "ask for another address");
        }
        if (mRequests.count() >= mMaxInProgress) {
            throw refused(ErrorCode.OVERLOADED, "too many requests in progress");
        }
    }

    /** Tells whether a request of this identity is in progress here. */
    boolean isInProgress(final RequestId id) {
        return mRequests.find(id).isPresent();
    }

    /** Takes a request in; on its connection's IO thread. */
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
        measured.set(mBurn.measure(spec, new QueuedReply(thread, format, writer)));
        live.set(new LiveRequest(spec, body, measured.get(), thread));
        if (!mLoop.offerNew(event.apply(live.get()))) {
            throw refused(ErrorCode.OVERLOADED, "the decision ring is full");
        }
        mRequests.responseOpened();
        DisconnectDetector.start(exchange, writer::abort);
    }

    private void responseEnded(final MeasuredReply reply, final boolean whole) {
        mRequests.responseClosed();
        mBurn.recordEnd(reply, whole);
    }

    private static RequestException refused(final ErrorCode code, final String detail) {
        return new RequestException(Refusal.notRun(code, detail).comeBackAfter(RETRY_AFTER));
    }

    /**
     * Tells the decision thread that a caller left. Guards against a full ring: the news must not
     * be lost, or the engine would go on for nobody, so it is offered again until there is room.
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
