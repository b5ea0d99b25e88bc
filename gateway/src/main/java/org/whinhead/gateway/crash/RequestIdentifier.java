package org.whinhead.gateway.crash;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.identity.IdentityDigest;
import org.whinhead.serving.crash.RequestIdentity;

/** Computes the identity of a request over its attempts, which differ in their ids. */
public final class RequestIdentifier {

    private RequestIdentifier() {}

    /**
     * Returns the hash of all but the content of the body.
     *
     * @param request the head of the request
     * @param customer the customer's name; empty if the request needs no key
     * @param body the whole body
     * @return the shape, the same in every daemon
     */
    public static int shape(
            final CallerRequest request, final Optional<String> customer, final ByteBuf body) {
        return Objects.hash(
                customer.orElse(""),
                request.method().name(),
                request.host(),
                request.target(),
                body.readableBytes());
    }

    /**
     * Returns a short hash of a request, far cheaper than its identity. Callers can make requests
     * with the same one.
     *
     * @param request the head of the request
     * @param customer the customer's name; empty if the request needs no key
     * @param body the whole body, which is not changed
     * @return the hash, the same in every daemon
     */
    public static long hash(
            final CallerRequest request, final Optional<String> customer, final ByteBuf body) {
        final CRC32C checksum = new CRC32C();
        for (final ByteBuffer part : body.nioBuffers()) {
            checksum.update(part);
        }
        return (long) shape(request, customer, body) << Integer.SIZE | checksum.getValue();
    }

    /**
     * Returns the identity of a request.
     *
     * @param request the head of the request
     * @param customer the customer's name; empty if the request needs no key
     * @param body the whole body, which is not changed
     * @return the identity
     */
    public static RequestIdentity identify(
            final CallerRequest request, final Optional<String> customer, final ByteBuf body) {
        final IdentityDigest digest =
                new IdentityDigest()
                        .add(customer.orElse(""))
                        .add(request.method().name())
                        .add(request.host())
                        .add(request.target());
        for (final ByteBuffer part : body.nioBuffers()) {
            digest.add(part);
        }
        final ByteBuffer value = digest.finish();
        return new RequestIdentity(
                shape(request, customer, body), value.getLong(), value.getLong());
    }
}
