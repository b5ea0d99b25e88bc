package org.whinhead.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks which bytes that are no response are refused, and that sound responses pass. */
class ResponsePipelineTest {

    private static final int FAST_BYTES = 4 * 1024;
    private static final int SLOW_BYTES = 100;

    /** Some hundred KiB of bytes that are no response are more than any limit. */
    private static final int MAX_SENT_BYTES = 64 * 1024;

    private static final String CHUNKED =
            "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n";

    private final List<String> mReceived = new ArrayList<>();
    private EmbeddedChannel mChannel;
    private ResponseProgress mProgress;
    private boolean mAwaited = true;

    @BeforeEach
    void connect() {
        mChannel = new EmbeddedChannel();
        mProgress = ResponsePipeline.addTo(mChannel.pipeline(), () -> mAwaited);
        mChannel.pipeline().addLast(new Recorder());
    }

    private final class Recorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
                mReceived.add("not decoded");
            } else if (message instanceof HttpResponse response) {
                mReceived.add("head " + response.status().code());
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                mReceived.add("body");
            }
            if (message instanceof LastHttpContent) {
                mReceived.add("end");
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            mReceived.add(((OverlongResponseException) cause).part().name());
        }
    }

    private void receive(final String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(unescape(text), StandardCharsets.US_ASCII));
    }

    private static String unescape(final String text) {
        return text.replace("\\r", "\r")
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\0", "\0");
    }

    // Guards against bytes that are no response and come until the caller closes.
    @ParameterizedTest
    @CsvSource({
        "'', '\\r\\n', BEFORE_HEAD",
        "'HTTP/1.1 200 ', a, STATUS_LINE",
        "'HTTP/1.1 200 OK\\r\\nX: ', a, HEADER_FIELDS",
        "'HTTP/1.1 200 OK\\r\\nX: ', '\\0', HEADER_FIELDS",
        "'HTTP/1.1 200 OK\\r\\n', 'X: aaaaaaaa\\r\\n', HEADER_FIELDS",
        "'', 'HTTP/1.1 103 Early Hints\\r\\nX: a\\r\\n\\r\\n', INTERIM_RESPONSES",
        "'HTTP/1.1 101 Switching Protocols\\r\\nUpgrade: x\\r\\n\\r\\n', a, INTERIM_RESPONSES",
        "'" + CHUNKED + "', 0, CHUNK_LINE",
        "'" + CHUNKED + "1;x=', a, CHUNK_LINE",
        "'" + CHUNKED + "0\\r\\nX: ', a, TRAILERS",
        "'" + CHUNKED + "0\\r\\n', 'X: aaaaaaaa\\r\\n', TRAILERS",
    })
    void endlessPartIsRefusedOnce(final String begin, final String unit, final OverlongPart part) {
        for (final int size : new int[] {FAST_BYTES, SLOW_BYTES}) {
            connect();
            mReceived.clear();
            receive(begin);
            final String bytes = unit.repeat(Math.max(size / unescape(unit).length(), 1));
            for (int sent = 0; sent < MAX_SENT_BYTES; sent += size) {
                receive(bytes);
            }
            assertThat(mReceived).last().isEqualTo(part.name());
            assertThat(mReceived).containsOnlyOnce(part.name());
        }
    }

    @Test
    void bytesThatNobodyAwaitsAreRefused() {
        mAwaited = false;
        receive("\\r");
        receive("HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n");
        assertThat(mReceived).containsExactly("AFTER_RESPONSE");
    }

    @Test
    void soundResponseAfterInterimOnesIsPassedOn() {
        receive("\\r\\nHTTP/1.1 102 Processing\\r\\n\\r\\nHTTP/1.1 100 Continue\\r\\n\\r\\n");
        assertThat(mProgress.hasUndecoded()).isTrue();
        receive(CHUNKED + "2;x=y\\r\\nok\\r\\n0\\r\\nX: a\\r\\n\\r\\n");
        assertThat(mReceived).containsExactly("head 200", "body", "end");
        assertThat(mProgress.hasUndecoded()).isFalse();
    }

    // Guards against sound long responses being cut by a limit on what is no response.
    @Test
    void longBodyInManyChunksIsPassedOn() {
        receive(CHUNKED);
        final String chunk = "64;x=y\\r\\n" + "a".repeat(100) + "\\r\\n";
        for (int count = 0; count < 1_000; count++) {
            receive(chunk.repeat(10));
        }
        receive("0\\r\\n\\r\\n");
        assertThat(mReceived).hasSize(10_002).last().isEqualTo("end");
    }

    // Guards against a failure that passes for a success: the status line of the next response is
    // read as the rest of a begun field, and dropped, as no colon follows.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Begun HTTP/1.1 500 Error\\r\\n",
                "X-Begun \\r\\n",
                "X-Begun\\r\\n",
                "X-Begun : a\\r\\n",
                "X-Begun HTTP/1.1 500 A:b\\r\\n",
                "X-Begun\\tHTTP/1.1 500 Error\\r\\n",
                "X-Begun",
                "X-Begun: a\\r\\nHTTP/1.1 500 Error\\r\\n"
            })
    void lineWithoutColonAfterItsNameIsNotDecoded(final String line) {
        for (final int size : new int[] {1, 7, 1_000}) {
            connect();
            mReceived.clear();
            final String text =
                    unescape(
                            "HTTP/1.1 200 OK\\r\\n"
                                    + line
                                    + (line.endsWith("\\n") ? "" : "HTTP/1.1 500 Error\\r\\n")
                                    + "Content-Length: 0\\r\\n\\r\\n");
            for (int begin = 0; begin < text.length(); begin += size) {
                receive(text.substring(begin, Math.min(begin + size, text.length())));
            }
            assertThat(mReceived).startsWith("not decoded");
        }
    }

    // Guards against a body whose end is not where its server meant it, or that reaches a caller
    // without the coding it is in.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: gzip\\r\\nContent-Length: 2\\r\\n",
                "Transfer-Encoding: gzip\\r\\nTransfer-Encoding: chunked\\r\\n",
                "Transfer-Encoding: chunked, gzip\\r\\n",
                "Content-Length: 2\\r\\nContent-Length: 3\\r\\n",
                "Content-Length: 2, 3\\r\\n",
                "Content-Length: +2\\r\\n",
                "Content-Length: -2\\r\\n",
                "X: a\\0b\\r\\n",
                "X: a\\rb\\r\\n",
                "X: a\\nContent-Length: 2\\n",
            })
    void headWithAmbiguousFieldsIsNotDecoded(final String fields) {
        receive("HTTP/1.1 200 OK\\r\\n" + fields + "\\r\\n2\\r\\nok");
        assertThat(mReceived).startsWith("not decoded");
    }

    @Test
    void fieldsWithBlanksAfterTheirColonsAreDecoded() {
        receive("HTTP/1.1 200 OK\\r\\nX:  a\\r\\nY:\\r\\nZ:a b:c\\r\\n");
        receive("Content-Length: 0\\r\\n\\r\\n");
        assertThat(mReceived).containsExactly("head 200", "end");
    }

    // Guards against a line whose name begins with a blank being passed on as a part of the field
    // before it, at each place of a head, in interim ones too, and read in segments of any size.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\\r\\n X: a\\r\\nContent-Length: 2\\r\\n",
                "HTTP/1.1 200 OK\\r\\nDate: a\\r\\n X: a\\r\\nContent-Length: 2\\r\\n",
                "HTTP/1.1 200 OK\\r\\nDate: a\\r\\n\\tX: a\\r\\nContent-Length: 2\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\nDate: a\\r\\n X: a\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n X: a\\r\\n",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n X: a\\r\\n",
                "HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n X: a\\r\\nContent-Length: 2\\r\\n",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\nDate: a\\r\\n \\r\\n",
                "HTTP/1.1 103 Hints\\r\\nDate: a\\r\\n X: a\\r\\n",
            })
    void headWithFoldedLineIsNotDecoded(final String head) {
        final String text = unescape(head + "\\r\\nok");
        for (int segment = 1; segment <= text.length(); segment++) {
            mReceived.clear();
            connect();
            for (int start = 0; start < text.length(); start += segment) {
                receive(text.substring(start, Math.min(start + segment, text.length())));
            }
            assertThat(mReceived).as("segments of %d", segment).first().isEqualTo("not decoded");
        }
    }
}
