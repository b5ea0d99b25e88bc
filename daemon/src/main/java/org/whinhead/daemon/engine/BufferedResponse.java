package org.whinhead.daemon.engine;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.whinhead.clients.http.HttpCall;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.clients.http.ResponseListener;
import org.whinhead.requests.AttemptFailure;

/** Buffers an attempt's whole response, up to a size limit. */
abstract class BufferedResponse implements ResponseListener {

    private final AttemptEventPublisher mPublisher;
    private final int mMaxBytes;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private HttpCall mCall;
    private int mStatus;
    private String mContentType = "";
    private boolean mEnded;

    BufferedResponse(final AttemptEventPublisher publisher, final int maxBytes) {
        mPublisher = publisher;
        mMaxBytes = maxBytes;
    }

    /** Handles the whole response. */
    abstract void handleResponse(int status, String contentType, byte[] body);

    AttemptEventPublisher publisher() {
        return mPublisher;
    }

    @Override
    public final void onStart(final HttpCall call) {
        mCall = call;
        mPublisher.setCall(call);
    }

    @Override
    public final void onHeaders(final int status, final HeaderMap headers) {
        mStatus = status;
        final String contentType = headers.getFirst(Headers.CONTENT_TYPE);
        mContentType = contentType == null ? "" : contentType;
    }

    @Override
    public final void onBodyBytes(final ByteBuffer bytes) {
        if (mBody.size() + bytes.remaining() > mMaxBytes) {
            mEnded = true;
            mCall.cancel();
            mPublisher.publishFailed(
                    AttemptFailure.FAULTED, "the answer is larger than " + mMaxBytes + " bytes");
            return;
        }
        final byte[] chunk = new byte[bytes.remaining()];
        bytes.get(chunk);
        mBody.write(chunk, 0, chunk.length);
    }

    @Override
    public final void onEnd() {
        if (!mEnded) {
            mEnded = true;
            handleResponse(mStatus, mContentType, mBody.toByteArray());
        }
    }

    @Override
    public final void onFailure(final HttpFailure failure, final String detail) {
        if (!mEnded) {
            mEnded = true;
            mPublisher.publishFailed(AttemptFailures.of(failure), detail);
        }
    }
}
