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

/** Makes calls whose response is read whole, within bounds of time and size. */
public final class BufferedHttpClient {

    private final HttpCaller mCaller;
    private final Duration mTimeout;
    private final int mMaxBytes;

    /**
     * Makes a way to call.
     *
     * @param caller makes the calls
     * @param timeout how long a call may take in all
     * @param maxBytes the largest response
     */
    public BufferedHttpClient(final HttpCaller caller, final Duration timeout, final int maxBytes) {
        mCaller = caller;
        mTimeout = Arguments.requirePositive(timeout, "timeout");
        mMaxBytes = maxBytes;
    }

    /**
     * Makes a call.
     *
     * @param request what to send
     * @return the response, or a {@link CallFailedException}; completed on an IO thread
     */
    public CompletionStage<BufferedHttpResponse> send(final OutgoingRequest request) {
        final BufferingListener reading = new BufferingListener();
        mCaller.start(request, reading);
        return reading.mResult;
    }

    /** One response on its way in; on one IO thread. */
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
                                    () -> abort(HttpFailure.SILENT, "no response in " + mTimeout),
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
                abort(HttpFailure.RESPONSE_TOO_LARGE, "more than " + mMaxBytes + " bytes");
                return;
            }
            final byte[] some = new byte[bytes.remaining()];
            bytes.get(some);
            mBody.write(some, 0, some.length);
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
