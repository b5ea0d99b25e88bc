package org.whinhead.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against a head that is none and reaches a caller, and against one that reaches it changed:
 * what is decoded matches the grammar of RFC 9112 and has the fields that were sent.
 */
class HeadGrammarPropertyTest {

    private static final List<String> HEADS =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nDate: a b\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n",
                    "HTTP/1.0 503 \r\nRetry-After: 1\r\nConnection: close\r\n\r\n",
                    "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 204\r\nX-B:\tc\t\r\n\r\n");

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";

    /** Blank lines may precede a head (RFC 9112, 2.2). */
    private static final Pattern HEAD =
            Pattern.compile(
                    "(?:\r?\n)*HTTP/1\\.[01] ([1-5][0-9]{2})(?: "
                            + TEXT
                            + ")?\r?\n((?:"
                            + TOKEN
                            + ":"
                            + TEXT
                            + "\r?\n)*)\r?\n");

    private record Head(int status, List<String> fields) {}

    private static final class Recorder extends ChannelInboundHandlerAdapter {
        private Optional<Head> mHead = Optional.empty();
        private boolean mRefused;

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            final boolean refused =
                    message instanceof HttpObject object && object.decoderResult().isFailure();
            if (refused) {
                // As at readers of responses, what follows is not read.
                mRefused = true;
            } else if (!mRefused && message instanceof HttpResponse response && mHead.isEmpty()) {
                final List<String> fields = new ArrayList<>();
                response.headers()
                        .iteratorCharSequence()
                        .forEachRemaining(
                                field -> fields.add(field.getKey() + ":" + field.getValue()));
                mHead = Optional.of(new Head(response.status().code(), fields));
            }
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }

    @Property(tries = 20_000, seed = "88")
    void headWithOneOtherOctetIsRefusedOrWhole(
            @ForAll @IntRange(max = 3) final int head,
            @ForAll @IntRange(max = 200) final int place,
            @ForAll @Size(max = 1) final List<@IntRange(max = 255) Integer> inserted,
            @ForAll @IntRange(max = 1) final int dropped,
            @ForAll @IntRange(min = 1, max = 60) final int segment) {
        final String sound = HEADS.get(head);
        final int at = place % sound.length();
        final StringBuilder text = new StringBuilder(sound.substring(0, at));
        inserted.forEach(octet -> text.append((char) octet.intValue()));
        text.append(sound.substring(Math.min(at + dropped, sound.length())));
        final String sent = text.toString();
        decode(sent, segment).ifPresent(decoded -> assertThat(decoded).isEqualTo(parse(sent)));
    }

    @Property(tries = 200, seed = "88")
    void soundHeadIsWhole(
            @ForAll @IntRange(max = 3) final int head,
            @ForAll @IntRange(min = 1, max = 60) final int segment) {
        assertThat(decode(HEADS.get(head), segment)).contains(parse(HEADS.get(head)));
    }

    private static Optional<Head> decode(final String text, final int segment) {
        final EmbeddedChannel channel = new EmbeddedChannel();
        ResponsePipeline.addTo(channel.pipeline(), () -> true);
        final Recorder recorder = new Recorder();
        channel.pipeline().addLast(recorder);
        for (int start = 0; start < text.length() && channel.isActive(); start += segment) {
            final String part = text.substring(start, Math.min(start + segment, text.length()));
            channel.pipeline()
                    .fireChannelRead(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        }
        channel.close();
        return recorder.mHead;
    }

    /** Returns the first final head of a text; fails if the text is none by the grammar. */
    private static Head parse(final String text) {
        final Matcher matcher = HEAD.matcher(text);
        int from = 0;
        while (matcher.find(from) && matcher.start() == from) {
            if (!matcher.group(1).startsWith("1")) {
                return new Head(Integer.parseInt(matcher.group(1)), fields(matcher.group(2)));
            }
            from = matcher.end();
        }
        return new Head(0, List.of("no head by the grammar: " + text));
    }

    private static List<String> fields(final String lines) {
        return lines.lines()
                .map(
                        line -> {
                            final int colon = line.indexOf(':');
                            return line.substring(0, colon)
                                    + ":"
                                    + line.substring(colon + 1).strip();
                        })
                .toList();
    }
}
