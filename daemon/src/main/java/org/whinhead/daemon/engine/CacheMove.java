package org.whinhead.daemon.engine;

import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import org.whinhead.requests.AttemptFailure;

/** Takes a stream's KV cache from the leaving engine, the first half of a move. */
final class CacheMove extends WholeResponse {

    private static final int MAX_CACHE_BYTES = 64 * 1024 * 1024;

    private final Consumer<byte[]> mExported;

    CacheMove(final AttemptEvents events, final Consumer<byte[]> exported) {
        super(events, MAX_CACHE_BYTES);
        mExported = exported;
    }

    @Override
    void whole(final int status, final String contentType, final byte[] body) {
        if (status == StatusCodes.OK) {
            mExported.accept(body);
            return;
        }
        final AttemptFailure failure =
                status == StatusCodes.NOT_FOUND
                        ? AttemptFailure.STREAM_UNKNOWN
                        : Failures.ofStatus(status);
        events().failed(failure, "the export answered with status " + status);
    }
}
