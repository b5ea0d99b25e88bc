package org.whinhead.daemon.engine;

import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import org.whinhead.requests.AttemptFailure;

/** Receives a stream's KV cache from the engine that leaves, the first half of a move. */
final class CacheExport extends BufferedResponse {

    private static final int MAX_CACHE_BYTES = 64 * 1024 * 1024;

    private final Consumer<byte[]> mOnExported;

    CacheExport(final AttemptEventPublisher publisher, final Consumer<byte[]> onExported) {
        super(publisher, MAX_CACHE_BYTES);
        mOnExported = onExported;
    }

    @Override
    void handleResponse(final int status, final String contentType, final byte[] body) {
        if (status == StatusCodes.OK) {
            mOnExported.accept(body);
            return;
        }
        final AttemptFailure failure =
                status == StatusCodes.NOT_FOUND
                        ? AttemptFailure.STREAM_UNKNOWN
                        : AttemptFailures.ofStatus(status);
        publisher().publishFailed(failure, "the export answered with status " + status);
    }
}
