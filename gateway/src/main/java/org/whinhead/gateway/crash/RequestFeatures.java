package org.whinhead.gateway.crash;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.identity.IdentityDigest;
import org.whinhead.serving.balance.PromptPart;
import org.whinhead.serving.crash.RequestFeature;

/**
 * The features of a request by which it may be like others under which endpoints crash: the whole
 * request, which is the same over the attempts of its caller, and each part of its prompt.
 *
 * <p>Parts are counted by themselves and for their customer. A customer that gives a part of its
 * own the id of another customer's part is held back, and the other one is not.
 */
public final class RequestFeatures {

    /**
     * The most parts from each end of a prompt: callers choose how many there are, and each costs
     * memory and messages once its endpoint crashes.
     */
    private static final int MAX_PARTS_FROM_END = 8;

    private static final String REQUEST = "request";
    private static final String PART = "part";

    private RequestFeatures() {}

    /**
     * Returns the features of a request.
     *
     * @param request the head of the request
     * @param customer the customer's name; empty if the request needs no key
     * @param body the whole body, which is not changed and read only for a hash or a digest
     * @return the whole request first, then the parts of its prompt
     */
    public static List<FeatureSource> of(
            final CallerRequest request, final Optional<String> customer, final ByteBuf body) {
        final String owner = customer.orElse("");
        final List<FeatureSource> sources = new ArrayList<>();
        sources.add(wholeRequest(request, owner, body));
        for (final PromptPart part : limit(request.work().parts())) {
            sources.add(part(part.id(), ""));
            sources.add(part(part.id(), owner));
        }
        return sources;
    }

    private static List<PromptPart> limit(final List<PromptPart> parts) {
        if (parts.size() <= 2 * MAX_PARTS_FROM_END) {
            return parts;
        }
        final List<PromptPart> limited = new ArrayList<>(parts.subList(0, MAX_PARTS_FROM_END));
        limited.addAll(parts.subList(parts.size() - MAX_PARTS_FROM_END, parts.size()));
        return limited;
    }

    private static FeatureSource wholeRequest(
            final CallerRequest request, final String customer, final ByteBuf body) {
        final int shape =
                Objects.hash(
                        customer,
                        request.method().name(),
                        request.host(),
                        request.target(),
                        body.readableBytes());
        return new FeatureSource(
                REQUEST,
                shape,
                () -> (long) shape << Integer.SIZE | checksum(body),
                () -> finish(shape, digest(request, customer, body)));
    }

    private static long checksum(final ByteBuf body) {
        final CRC32C checksum = new CRC32C();
        for (final ByteBuffer part : body.nioBuffers()) {
            checksum.update(part);
        }
        return checksum.getValue();
    }

    private static IdentityDigest digest(
            final CallerRequest request, final String customer, final ByteBuf body) {
        final IdentityDigest digest =
                new IdentityDigest()
                        .add(customer)
                        .add(request.method().name())
                        .add(request.host())
                        .add(request.target());
        for (final ByteBuffer part : body.nioBuffers()) {
            digest.add(part);
        }
        return digest;
    }

    private static FeatureSource part(final String id, final String customer) {
        final int shape = Objects.hash(PART, customer, id);
        return new FeatureSource(
                customer.isEmpty() ? PART + " " + id : PART + " " + id + " of " + customer,
                shape,
                () -> (long) shape << Integer.SIZE | Integer.toUnsignedLong(id.hashCode()),
                () -> finish(shape, new IdentityDigest().add(PART).add(customer).add(id)));
    }

    private static RequestFeature finish(final int shape, final IdentityDigest digest) {
        final ByteBuffer value = digest.finish();
        return new RequestFeature(shape, value.getLong(), value.getLong());
    }
}
