package org.whinhead.daemon.request;

import java.util.Objects;
import org.whinhead.api.request.RequestSpec;
import org.xnio.XnioIoThread;

/**
 * A request in progress.
 *
 * @param spec what decisions need to know of it
 * @param body what an endpoint is sent
 * @param reply where its answer goes
 * @param thread the IO thread of its caller's connection, on which its attempts run too
 */
public record LiveRequest(
        RequestSpec spec, RequestBody body, CallerReply reply, XnioIoThread thread) {

    /** Checks every part. */
    public LiveRequest {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(reply, "reply");
        Objects.requireNonNull(thread, "thread");
    }
}
