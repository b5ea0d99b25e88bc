package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.endpoint.EndpointStatements;

class ResponseRelayTest {

    private static final int PART_BYTES = 8 * 1024;

    /** The bytes that a connection holds for its caller before it says that the caller lags. */
    private static final int WRITABLE_BYTES = 64 * 1024;

    /** One connection may take 256 KiB; the rest is for reads and the decoder. */
    private static final int MAX_HELD_BYTES = 240 * 1024;

    private final List<ByteBuf> mUnread = new ArrayList<>();
    private Runnable mOnWrite = () -> {};
    private boolean mLagging;
    private boolean mOverlong;
    private boolean mFinished;

    private final CallerResponse mCaller =
            new CallerResponse() {
                @Override
                public void start(final EndpointResponse response) {
                    assertThat(response.status()).isEqualTo(HttpResponseStatus.OK);
                }

                @Override
                public boolean write(final ByteBuf bytes) {
                    mUnread.add(bytes);
                    mOnWrite.run();
                    return heldBytes() <= WRITABLE_BYTES;
                }

                @Override
                public void finish() {
                    mFinished = true;
                }

                @Override
                public void abort() {
                    throw new AssertionError("not used");
                }

                @Override
                public void refuse(final RefusalResponse refusal) {
                    throw new AssertionError("not used");
                }
            };

    private final ResponseRelay.ProgressListener mProgress =
            new ResponseRelay.ProgressListener() {
                @Override
                public void generationStarted() {
                    assertThat(mOverlong).isFalse();
                }

                @Override
                public void callerLagging() {
                    mLagging = true;
                }

                @Override
                public void eventOverlong() {
                    mOverlong = true;
                }
            };

    private int heldBytes() {
        return mUnread.stream().mapToInt(ByteBuf::capacity).sum();
    }

    private ResponseRelay relay(final boolean stream) {
        final ResponseRelay relay = new ResponseRelay(mCaller, stream, Optional.empty(), mProgress);
        relay.startAttempt();
        relay.head(
                new EndpointResponse(
                        HttpResponseStatus.OK,
                        new DefaultHttpHeaders(),
                        Optional.of("r-1"),
                        false,
                        false,
                        true,
                        Optional.empty(),
                        EndpointStatements.NONE,
                        false));
        return relay;
    }

    private static ByteBuf part(final String text) {
        return Unpooled.copiedBuffer(
                text.repeat(PART_BYTES / text.length()),
                java.nio.charset.StandardCharsets.US_ASCII);
    }

    /** Sends until the caller lags or the response is refused; returns the bytes sent. */
    private int sendUntilPaused(final ResponseRelay relay, final String text) {
        int sent = 0;
        while (!mLagging && !mOverlong && sent < 10 * MAX_HELD_BYTES) {
            relay.forwardBody(part(text));
            sent += PART_BYTES;
        }
        return sent;
    }

    // Guards against memory that is used up by a body without an end whose caller doesn't read.
    @Test
    void plainBodyOfCallerThatDoesNotReadIsPausedWithinTheLimit() {
        assertThat(sendUntilPaused(relay(false), "a")).isLessThan(MAX_HELD_BYTES);
        assertThat(mLagging).isTrue();
        assertThat(heldBytes()).isLessThan(MAX_HELD_BYTES);
        assertThat(mFinished).isFalse();
    }

    // Guards against memory that is used up by a stream in which no event ends.
    @Test
    void streamWithoutEndOfEventIsRefusedWithinTheLimit() {
        assertThat(sendUntilPaused(relay(true), "a")).isLessThan(MAX_HELD_BYTES);
        assertThat(mOverlong).isTrue();
        assertThat(mUnread).isEmpty();
    }

    @Test
    void streamOfCallerThatDoesNotReadIsPausedWithinTheLimit() {
        sendUntilPaused(relay(true), "data: x\n\n");
        assertThat(mLagging).isTrue();
        assertThat(mOverlong).isFalse();
        assertThat(heldBytes()).isLessThan(MAX_HELD_BYTES);
    }

    // Guards against a daemon that is busy with an endpoint that sends line ends without end.
    @Test
    void lineEndsWithoutEndAreRefusedAndNotForwarded() {
        final ResponseRelay relay = relay(true);
        relay.forwardBody(part("data: x\n\n"));
        assertThat(mUnread).hasSize(1);
        assertThat(sendUntilPaused(relay, "\n")).isLessThan(MAX_HELD_BYTES);
        assertThat(mOverlong).isTrue();
        assertThat(mUnread).hasSize(1);
    }

    // Guards against a caller that gets less than its endpoint sent.
    @Test
    void blankLinesAtTheEndOfStreamAreForwarded() {
        final ResponseRelay relay = relay(true);
        relay.forwardBody(
                Unpooled.copiedBuffer(
                        "data: x\n\n\n\r\n", java.nio.charset.StandardCharsets.US_ASCII));
        assertThat(relay.isComplete()).isTrue();
        relay.flush();
        assertThat(
                        mUnread.stream()
                                .map(
                                        bytes ->
                                                bytes.toString(
                                                        java.nio.charset.StandardCharsets.US_ASCII))
                                .reduce("", String::concat))
                .isEqualTo("data: x\n\n\n\r\n");
    }

    // Guards against an error on the event loop when a caller disconnects within the last write.
    @Test
    void callerMayLeaveWithinTheLastWrite() {
        final ResponseRelay relay = relay(false);
        relay.forwardBody(part("a"));
        mOnWrite = relay::release;
        relay.flush();
        assertThat(mUnread).hasSize(1);
    }

    @Test
    void callerMayLeaveWithinAnEvent() {
        final ResponseRelay relay = relay(true);
        mOnWrite = relay::release;
        relay.forwardBody(part("data: x\n\n"));
        assertThat(mUnread).hasSize(1);
    }
}
