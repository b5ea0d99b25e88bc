package org.whinhead.daemon.engine;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.clients.http.ResponseListener;

/** Discards the response to a call whose outcome is irrelevant, such as a cancellation. */
final class IgnoredResponse implements ResponseListener {

    @Override
    public void onHeaders(final int status, final HeaderMap headers) {
        // The outcome is irrelevant.
    }

    @Override
    public void onBodyBytes(final ByteBuffer bytes) {
        bytes.position(bytes.limit());
    }

    @Override
    public void onEnd() {
        // The outcome is irrelevant.
    }

    @Override
    public void onFailure(final HttpFailure failure, final String detail) {
        // An endpoint that cannot be reached stops the stream by itself.
    }
}
