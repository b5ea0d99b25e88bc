package org.whinhead.daemon.engine;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.clients.http.ResponseListener;

/** Takes the response of a call whose outcome changes nothing, such as a cancellation. */
final class IgnoredResponse implements ResponseListener {

    @Override
    public void began(final int status, final HeaderMap headers) {
        // The outcome changes nothing.
    }

    @Override
    public void arrived(final ByteBuffer bytes) {
        bytes.position(bytes.limit());
    }

    @Override
    public void ended() {
        // The outcome changes nothing.
    }

    @Override
    public void failed(final HttpFailure failure, final String detail) {
        // An endpoint that can not be reached stops the stream by itself.
    }
}
