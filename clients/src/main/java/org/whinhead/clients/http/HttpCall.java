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

/** One HTTP call; its state is touched on its IO thread only. */
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

    /** Starts the call; from any thread, once. */
    public void begin() {
        mThread.execute(this::start);
    }

    /** Ends the call without a word to the listener; from any thread. */
    public void cancel() {
        mThread.execute(this::abort);
    }

    /** Stops reading the response until {@link #resume}; on the IO thread only. */
    public void pause() {
        mPaused = true;
        if (mReader != null) {
            mReader.suspend();
        }
    }

    /** Reads on after {@link #pause}; on the IO thread only. */
    public void resume() {
        mPaused = false;
        recordActivity();
        if (mReader != null && mStep == Step.RESPONDING) {
            mReader.read();
        }
    }

    /** Returns the IO thread that the listener is called on. */
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
        final long quiet = System.nanoTime() - mLastActivityNanos;
        final long left = mRequest.silenceTimeout().toNanos() - quiet;
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
            // One turn of the loop later the client has taken note of the response's end.
            mThread.execute(() -> mPool.release(mRequest.base().getAuthority(), mConnection));
        } else {
            // A peer that answers before it read the whole request would take the rest of the
            // body for the next request.
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

    /** Takes the new connection, or gives it to the pool if the call has ended meanwhile. */
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

    /** Writes the body once the request is under way. */
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

    /** Takes the head of the response. */
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

    /** Passes the body on. */
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
