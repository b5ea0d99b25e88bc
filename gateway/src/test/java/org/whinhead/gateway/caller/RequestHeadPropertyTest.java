package org.whinhead.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
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
 * Guards against a request that is none and reaches an endpoint, and against one that reaches it
 * changed: what is decoded matches the grammar of RFC 9112 and has what was sent.
 */
class RequestHeadPropertyTest {

    private static final List<String> HEADS =
            List.of(
                    "POST /posts/1?a=b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n",
                    "GET /checks/1 HTTP/1.1\r\nHost: a.example\r\nX-A:\tb\t\r\n\r\n",
                    "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: b\r\n\r\n",
                    "\r\nGET / HTTP/1.0\r\nHost: a\r\n\r\n");

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";

    private static final String TARGET = "[\\x21-\\x7e\\x80-\\xff]+";

    /**
     * Blank lines may precede a head (RFC 9112, 2.2); more than one space between words is read.
     */
    private static final Pattern HEAD =
            Pattern.compile(
                    "(?:\r?\n)*("
                            + TOKEN
                            + ") +("
                            + TARGET
                            + ") +HTTP/1\\.[0-9]+ *\r?\n((?:"
                            + TOKEN
                            + ":"
                            + TEXT
                            + "\r?\n)*)\r?\n");

    private record Head(String method, String target, List<String> fields) {}

    private static final class Recorder extends ChannelInboundHandlerAdapter {
        private Optional<Head> mHead = Optional.empty();
        private boolean mRefused;

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            final boolean refused =
                    message instanceof HttpObject object && object.decoderResult().isFailure();
            if (refused) {
                // As at the connections of callers, what follows is not served.
                mRefused = true;
            } else if (!mRefused && message instanceof HttpRequest request && mHead.isEmpty()) {
                final List<String> fields = new ArrayList<>();
                request.headers()
                        .iteratorCharSequence()
                        .forEachRemaining(
                                field -> fields.add(field.getKey() + ":" + field.getValue()));
                mHead = Optional.of(new Head(request.method().name(), request.uri(), fields));
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
        channel.pipeline().addLast(new StrictRequestDecoder(16_384));
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

    /** Returns the first head of a text; fails if the text is none by the grammar. */
    private static Head parse(final String text) {
        final Matcher matcher = HEAD.matcher(text);
        return matcher.lookingAt()
                ? new Head(matcher.group(1), matcher.group(2), fields(matcher.group(3)))
                : new Head("no head by the grammar", text, List.of());
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
