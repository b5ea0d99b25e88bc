package org.whinhead.daemon.request;

import java.util.Objects;
import org.whinhead.api.request.RequestSpec;
import org.xnio.XnioIoThread;

/**
 * A request in progress.
 *
 * @param spec the properties that decisions depend on
 * @param body the body to send to an endpoint
 * @param reply sends the answer to the caller
 * @param thread the IO thread of the caller's connection, which also runs the attempts
 */
public record LiveRequest(
        RequestSpec spec, RequestBody body, CallerReply reply, XnioIoThread thread) {

    /** Creates a request. */
    public LiveRequest {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(reply, "reply");
        Objects.requireNonNull(thread, "thread");
    }
}
