package org.whinhead.gateway.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * The sizes of the reads on a connection.
 *
 * <p>Another side that sends as fast as it can would by default get 16 reads of 64 KiB before the
 * other connections of the event loop get their turn.
 */
public final class ReadSizes {

    /** The most bytes that are read from one connection before others get their turn. */
    public static final int MAX_BYTES_PER_TURN = 64 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private ReadSizes() {}

    /**
     * Returns the allocator of the buffers of one or several connections.
     *
     * @return the allocator
     */
    public static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_BYTES_PER_TURN / MAX_READ_BYTES);
    }
}
