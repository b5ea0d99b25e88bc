package org.whinhead.daemon.caller;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;
import org.xnio.XnioExecutor;

/** Reads request bodies whole, within bounds of size and time. */
final class BodyReceiver {

    /** Takes a whole body; on the connection's IO thread, where the exchange stays open. */
    @FunctionalInterface
    interface BodyHandler {
        void handle(byte[] body) throws RequestException;
    }

    private final long mMaxBytes;
    private final Duration mTimeout;

    BodyReceiver(final long maxBytes, final Duration timeout) {
        mMaxBytes = maxBytes;
        mTimeout = timeout;
    }

    /** Reads the body and hands it on; refuses the request if it breaks a bound. */
    void receive(final HttpServerExchange exchange, final BodyHandler taker) {
        if (exchange.getRequestContentLength() > mMaxBytes) {
            Refusals.send(exchange, tooLarge());
            return;
        }
        final BodyRead reading = new BodyRead(exchange, taker);
        reading.start();
    }

    private Refusal tooLarge() {
        return Refusal.notRun(ErrorCode.BODY_TOO_LARGE, "at most " + mMaxBytes + " bytes");
    }

    /** One body on its way in. */
    private final class BodyRead {
        private final HttpServerExchange mExchange;
        private final BodyHandler mHandler;
        private XnioExecutor.Key mTimer;
        private boolean mEnded;

        private BodyRead(final HttpServerExchange exchange, final BodyHandler taker) {
            mExchange = exchange;
            mHandler = taker;
        }

        private void start() {
            mTimer =
                    mExchange
                            .getIoThread()
                            .executeAfter(
                                    this::timedOut, mTimeout.toMillis(), TimeUnit.MILLISECONDS);
            final Receiver receiver = mExchange.getRequestReceiver();
            receiver.setMaxBufferSize((int) Math.min(mMaxBytes, Integer.MAX_VALUE));
            receiver.receiveFullBytes(
                    (exchange, body) ->
                            exchange.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> bodyReceived(body)),
                    (exchange, cause) ->
                            exchange.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> receiveFailed(cause)));
        }

        private void bodyReceived(final byte[] body) {
            if (endOnce()) {
                try {
                    mHandler.handle(body);
                } catch (final RequestException e) {
                    Refusals.send(mExchange, e.refusal());
                }
            }
        }

        private void receiveFailed(final Exception cause) {
            if (!endOnce()) {
                return;
            }
            if (cause instanceof Receiver.RequestToLargeException) {
                Refusals.send(mExchange, tooLarge());
            } else {
                mExchange.endExchange();
            }
        }

        /**
         * Guards against a caller that sends half a request and then nothing: without a bound it
         * would hold its connection and the bytes read so far for ever.
         */
        private void timedOut() {
            if (endOnce()) {
                final String detail = "the body did not arrive within " + mTimeout.toMillis();
                Refusals.send(
                        mExchange, Refusal.notRun(ErrorCode.MALFORMED_REQUEST, detail + " ms"));
            }
        }

        private boolean endOnce() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mTimer.remove();
            return true;
        }
    }
}
