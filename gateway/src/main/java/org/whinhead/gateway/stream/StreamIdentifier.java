package org.whinhead.gateway.stream;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.identity.IdentityDigest;
import org.whinhead.serving.stream.StreamKey;

/** Computes the keys of streams. */
public final class StreamIdentifier {

    private StreamIdentifier() {}

    /**
     * Returns the key of a stream. A caller can't name streams of other customers, nor of other
     * targets.
     *
     * @param request a request of the stream, the first one or one that resumes it
     * @param customer the customer's name; empty if the request needs no key
     * @param firstId the id of the caller's attempt that brought the first event
     * @return the key, the same in every daemon
     */
    public static StreamKey identify(
            final CallerRequest request, final Optional<String> customer, final String firstId) {
        final ByteBuffer digest =
                new IdentityDigest()
                        .add(customer.orElse(""))
                        .add(request.host())
                        .add(request.target())
                        .add(firstId)
                        .finish();
        return new StreamKey(customer.hashCode(), digest.getLong(), digest.getLong());
    }
}
