package org.whinhead.clients.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** An HTTP call. Its state is accessed on its IO thread only. */
public final class HttpCall {

    private enum Step {
        CONNECTING,
        SENT,
        RESPONDING,
        DONE
    }

    private final OutgoingRequest mRequest;
    private final XnioIoThread mThread;
    private final ConnectionPool mPool;
    private final ByteBufferPool mBuffers;
    private final ResponseListener mListener;
    private Step mStep = Step.CONNECTING;
    private ClientConnection mConnection;
    private BodyWriter mWriter;
    private ResponseReader mReader;
    private XnioExecutor.Key mTimer;
    private long mLastActivityNanos;
    private boolean mPaused;

    HttpCall(
            final OutgoingRequest request,
            final XnioIoThread thread,
            final ConnectionPool pool,
            final ByteBufferPool buffers,
            final ResponseListener listener) {
        mRequest = Objects.requireNonNull(request, "request");
        mThread = thread;
        mPool = pool;
        mBuffers = buffers;
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /** Starts the call. May be called from any thread, once. */
    public void begin() {
        mThread.execute(this::start);
    }

    /** Aborts the call without notifying the listener. May be called from any thread. */
    public void cancel() {
        mThread.execute(this::abort);
    }

    /** Suspends reading the response until {@link #resume}. Call it on the IO thread only. */
    public void pause() {
        mPaused = true;
        if (mReader != null) {
            mReader.suspend();
        }
    }

    /** Continues reading after {@link #pause}. Call it on the IO thread only. */
    public void resume() {
        mPaused = false;
        recordActivity();
        if (mReader != null && mStep == Step.RESPONDING) {
            mReader.read();
        }
    }

    /** Returns the IO thread on which the listener is called. */
    public XnioIoThread thread() {
        return mThread;
    }

    private void start() {
        if (mStep == Step.DONE) {
            return;
        }
        mListener.onStart(this);
        final ClientConnection pooled = mPool.acquire(mRequest.base().getAuthority());
        if (pooled != null) {
            send(pooled);
            return;
        }
        mTimer =
                schedule(
                        mRequest.connectTimeout(),
                        () -> fail(HttpFailure.CONNECT_FAILED, "no connection in time"));
        UndertowClient.getInstance()
                .connect(
                        new ConnectCallback(), mRequest.base(), mThread, mBuffers, OptionMap.EMPTY);
    }

    private void send(final ClientConnection connection) {
        mConnection = connection;
        mStep = Step.SENT;
        recordActivity();
        scheduleIdleCheck(mRequest.silenceTimeout());
        final ClientRequest request =
                new ClientRequest().setMethod(mRequest.method()).setPath(mRequest.path());
        mRequest.headers().forEach(h -> request.getRequestHeaders().addAll(h.getHeaderName(), h));
        connection.sendRequest(request, new RequestCallback());
    }

    private void scheduleIdleCheck(final Duration wait) {
        cancelTimer();
        mTimer = schedule(wait, this::checkIdle);
    }

    private void checkIdle() {
        final long idle = System.nanoTime() - mLastActivityNanos;
        final long left = mRequest.silenceTimeout().toNanos() - idle;
        if (left <= 0 && !mPaused) {
            fail(HttpFailure.SILENT, "nothing arrived for " + mRequest.silenceTimeout());
            return;
        }
        scheduleIdleCheck(left <= 0 ? mRequest.silenceTimeout() : Duration.ofNanos(left));
    }

    private void recordActivity() {
        mLastActivityNanos = System.nanoTime();
    }

    private void handleHeaders(final ClientExchange exchange) {
        if (mStep != Step.SENT) {
            return;
        }
        mStep = Step.RESPONDING;
        recordActivity();
        mListener.onHeaders(
                exchange.getResponse().getResponseCode(),
                exchange.getResponse().getResponseHeaders());
        if (mStep != Step.RESPONDING) {
            return;
        }
        mReader = new ResponseReader(exchange.getResponseChannel(), mBuffers, new BodySink());
        if (!mPaused) {
            mReader.read();
        }
    }

    private void finish() {
        mStep = Step.DONE;
        cancelTimer();
        if (mWriter.isDone()) {
            // The client registers the end of the response only in the next turn of the event loop.
            mThread.execute(() -> mPool.release(mRequest.base().getAuthority(), mConnection));
        } else {
            // A peer that responds before it has read the whole request would parse the rest of
            // the body as the next request.
            IoUtils.safeClose(mConnection);
        }
        mListener.onEnd();
    }

    private void fail(final HttpFailure failure, final String detail) {
        if (mStep == Step.DONE) {
            return;
        }
        abort();
        mListener.onFailure(failure, detail);
    }

    private void failDisconnected(final IOException cause) {
        final HttpFailure failure =
                mStep == Step.RESPONDING
                        ? HttpFailure.CUT_DURING_RESPONSE
                        : HttpFailure.CUT_BEFORE_RESPONSE;
        fail(failure, String.valueOf(cause.getMessage()));
    }

    private void abort() {
        if (mStep == Step.DONE) {
            return;
        }
        mStep = Step.DONE;
        cancelTimer();
        IoUtils.safeClose(mConnection);
    }

    private XnioExecutor.Key schedule(final Duration delay, final Runnable task) {
        return mThread.executeAfter(task, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
    }

    private void cancelTimer() {
        if (mTimer != null) {
            mTimer.remove();
            mTimer = null;
        }
    }

    /** Uses the new connection, or releases it to the pool if the call has already ended. */
    private final class ConnectCallback implements ClientCallback<ClientConnection> {
        @Override
        public void completed(final ClientConnection connection) {
            if (mStep == Step.DONE) {
                mPool.release(mRequest.base().getAuthority(), connection);
                return;
            }
            send(connection);
        }

        @Override
        public void failed(final IOException cause) {
            fail(HttpFailure.CONNECT_FAILED, String.valueOf(cause.getMessage()));
        }
    }

    /** Writes the request body once the headers are being sent. */
    private final class RequestCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(final ClientExchange exchange) {
            exchange.setResponseListener(new ResponseCallback());
            mWriter =
                    new BodyWriter(
                            exchange.getRequestChannel(),
                            mRequest.body(),
                            HttpCall.this::failDisconnected);
            mWriter.write();
        }

        @Override
        public void failed(final IOException cause) {
            failDisconnected(cause);
        }
    }

    /** Receives the status and the headers of the response. */
    private final class ResponseCallback implements ClientCallback<ClientExchange> {
        @Override
        public void completed(final ClientExchange exchange) {
            handleHeaders(exchange);
        }

        @Override
        public void failed(final IOException cause) {
            failDisconnected(cause);
        }
    }

    /** Passes the response body to the listener. */
    private final class BodySink implements ResponseReader.Sink {
        @Override
        public boolean onBytes(final ByteBuffer bytes) {
            recordActivity();
            mListener.onBodyBytes(bytes);
            return mStep == Step.RESPONDING && !mPaused;
        }

        @Override
        public void onEnd() {
            if (mStep == Step.RESPONDING) {
                finish();
            }
        }

        @Override
        public void onDisconnect(final IOException cause) {
            failDisconnected(cause);
        }
    }
}
