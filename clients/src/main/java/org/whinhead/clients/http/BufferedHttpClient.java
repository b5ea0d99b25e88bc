package org.whinhead.clients.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.Arguments;
import org.xnio.XnioExecutor;

/** Makes HTTP calls and buffers the whole response, with a timeout and a size limit. */
public final class BufferedHttpClient {

    private final HttpCaller mCaller;
    private final Duration mTimeout;
    private final int mMaxBytes;

    /**
     * Creates a client.
     *
     * @param caller the HTTP caller
     * @param timeout the timeout of a call from its start to the end of the response
     * @param maxBytes the maximum size of a response body
     */
    public BufferedHttpClient(final HttpCaller caller, final Duration timeout, final int maxBytes) {
        mCaller = caller;
        mTimeout = Arguments.requirePositive(timeout, "timeout");
        mMaxBytes = maxBytes;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the response, or a {@link CallFailedException}; completed on an IO thread
     */
    public CompletionStage<BufferedHttpResponse> send(final OutgoingRequest request) {
        final BufferingListener listener = new BufferingListener();
        mCaller.start(request, listener);
        return listener.mResult;
    }

    /** Buffers one response; used on one IO thread only. */
    private final class BufferingListener implements ResponseListener {
        private final CompletableFuture<BufferedHttpResponse> mResult = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private HttpCall mCall;
        private XnioExecutor.Key mTimer;
        private boolean mHasStatus;
        private int mStatus;
        private long mRetryAfter;

        @Override
        public void onStart(final HttpCall call) {
            mCall = call;
            mTimer =
                    call.thread()
                            .executeAfter(
                                    () ->
                                            abort(
                                                    HttpFailure.SILENT,
                                                    "response not complete within " + mTimeout),
                                    mTimeout.toMillis(),
                                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void onHeaders(final int status, final HeaderMap headers) {
            mHasStatus = true;
            mStatus = status;
            mRetryAfter = parseSeconds(headers.getFirst(Headers.RETRY_AFTER));
        }

        @Override
        public void onBodyBytes(final ByteBuffer bytes) {
            if (mBody.size() + bytes.remaining() > mMaxBytes) {
                abort(
                        HttpFailure.RESPONSE_TOO_LARGE,
                        "response body larger than " + mMaxBytes + " bytes");
                return;
            }
            final byte[] chunk = new byte[bytes.remaining()];
            bytes.get(chunk);
            mBody.write(chunk, 0, chunk.length);
        }

        @Override
        public void onEnd() {
            mTimer.remove();
            mResult.complete(new BufferedHttpResponse(mStatus, mRetryAfter, mBody.toByteArray()));
        }

        @Override
        public void onFailure(final HttpFailure failure, final String detail) {
            mTimer.remove();
            mResult.completeExceptionally(new CallFailedException(failure, detail));
        }

        private void abort(final HttpFailure failure, final String detail) {
            mCall.cancel();
            onFailure(mHasStatus ? failure : HttpFailure.SILENT, detail);
        }

        private long parseSeconds(final String text) {
            try {
                return text == null ? 0 : Math.max(0, Long.parseLong(text));
            } catch (final NumberFormatException e) {
                return 0;
            }
        }
    }
}
