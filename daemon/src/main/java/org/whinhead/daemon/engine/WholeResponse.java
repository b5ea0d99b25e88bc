package org.whinhead.daemon.engine;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.whinhead.clients.http.HttpCall;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.clients.http.ResponseListener;
import org.whinhead.requests.AttemptFailure;

/** Reads an attempt's whole response, up to a bound. */
abstract class WholeResponse implements ResponseListener {

    private final AttemptEvents mEvents;
    private final int mMaxBytes;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private HttpCall mCall;
    private int mStatus;
    private String mContentType = "";
    private boolean mOver;

    WholeResponse(final AttemptEvents events, final int maxBytes) {
        mEvents = events;
        mMaxBytes = maxBytes;
    }

    /** Takes the whole response. */
    abstract void whole(int status, String contentType, byte[] body);

    AttemptEvents events() {
        return mEvents;
    }

    @Override
    public final void onStart(final HttpCall call) {
        mCall = call;
        mEvents.starting(call);
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
            mOver = true;
            mCall.cancel();
            mEvents.failed(
                    AttemptFailure.FAULTED, "the answer is larger than " + mMaxBytes + " bytes");
            return;
        }
        final byte[] some = new byte[bytes.remaining()];
        bytes.get(some);
        mBody.write(some, 0, some.length);
    }

    @Override
    public final void onEnd() {
        if (!mOver) {
            mOver = true;
            whole(mStatus, mContentType, mBody.toByteArray());
        }
    }

    @Override
    public final void onFailure(final HttpFailure failure, final String detail) {
        if (!mOver) {
            mOver = true;
            mEvents.failed(Failures.of(failure), detail);
        }
    }
}
