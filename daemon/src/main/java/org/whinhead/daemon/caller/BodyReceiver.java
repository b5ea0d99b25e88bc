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

/** Reads whole request bodies within a size limit and a timeout. */
final class BodyReceiver {

    /** Handles a whole body on the connection's IO thread; the exchange stays open. */
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

    /**
     * Reads the body and passes it to the handler; refuses the request if the body is too large or
     * late.
     */
    void receive(final HttpServerExchange exchange, final BodyHandler handler) {
        if (exchange.getRequestContentLength() > mMaxBytes) {
            Refusals.send(exchange, tooLarge());
            return;
        }
        final BodyRead bodyRead = new BodyRead(exchange, handler);
        bodyRead.start();
    }

    private Refusal tooLarge() {
        return Refusal.notRun(ErrorCode.BODY_TOO_LARGE, "at most " + mMaxBytes + " bytes");
    }

    /** The reading of one body. */
    private final class BodyRead {
        private final HttpServerExchange mExchange;
        private final BodyHandler mHandler;
        private XnioExecutor.Key mTimer;
        private boolean mEnded;

        private BodyRead(final HttpServerExchange exchange, final BodyHandler handler) {
            mExchange = exchange;
            mHandler = handler;
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
         * Refuses a request whose body is late: a caller that stops sending halfway would otherwise
         * hold its connection and the bytes read so far forever.
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
