package org.whinhead.gateway.crash;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.crash.RequestIdentity;

/** Computes the identity of a request over its attempts, which differ in their ids. */
public final class RequestIdentifier {

    private static final String DIGEST_ALGORITHM = "SHA-256";

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
     * Returns the identity of a request.
     *
     * @param request the head of the request
     * @param customer the customer's name; empty if the request needs no key
     * @param body the whole body, which is not changed
     * @return the identity
     */
    public static RequestIdentity identify(
            final CallerRequest request, final Optional<String> customer, final ByteBuf body) {
        final MessageDigest digest = createDigest();
        update(digest, customer.orElse(""));
        update(digest, request.method().name());
        update(digest, request.host());
        update(digest, request.target());
        for (final ByteBuffer part : body.nioBuffers()) {
            digest.update(part);
        }
        final ByteBuffer value = ByteBuffer.wrap(digest.digest());
        return new RequestIdentity(
                shape(request, customer, body), value.getLong(), value.getLong());
    }

    /** Adds a text behind its length, so that texts can't be split in another way. */
    private static void update(final MessageDigest digest, final String text) {
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static MessageDigest createDigest() {
        try {
            return MessageDigest.getInstance(DIGEST_ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + DIGEST_ALGORITHM, e);
        }
    }
}
