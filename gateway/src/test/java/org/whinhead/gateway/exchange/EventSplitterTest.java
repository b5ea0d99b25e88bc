package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class EventSplitterTest {

    private final EventSplitter mSplitter = new EventSplitter(ByteBufAllocator.DEFAULT);

    private void add(final String text) {
        mSplitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private List<String> events() {
        final List<String> events = new ArrayList<>();
        Optional<ByteBuf> event = mSplitter.next();
        while (event.isPresent()) {
            events.add(event.get().toString(StandardCharsets.UTF_8));
            event = mSplitter.next();
        }
        return events;
    }

    @Test
    void streamIsSplitIntoWholeEvents() {
        add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(events()).containsExactly("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");
        assertThat(mSplitter.pendingBytes()).isZero();
    }

    // Guards against a caller receiving half an event and then the whole event from the endpoint
    // that continues the stream, after the first endpoint crashed within the event.
    @Test
    void partialEventIsNotReturnedAndCanBeDiscarded() {
        add("id: 1\ndata: a\n\nid: 2\nda");
        assertThat(events()).containsExactly("id: 1\ndata: a\n\n");
        assertThat(mSplitter.pendingBytes()).isPositive();
        mSplitter.clear();
        add("id: 2\ndata: b\n\n");
        assertThat(events()).containsExactly("id: 2\ndata: b\n\n");
    }

    @Test
    void eventReceivedInPiecesIsAssembled() {
        for (final char letter : "id: 7\r\ndata: x\r\n\r\n".toCharArray()) {
            assertThat(events()).isEmpty();
            add(String.valueOf(letter));
        }
        assertThat(events()).containsExactly("id: 7\r\ndata: x\r\n\r\n");
    }

    @Test
    void idIsReadFromIdFieldOnly() {
        final ByteBuf event =
                Unpooled.copiedBuffer("data: id: 9\nid: 12\n\n", StandardCharsets.UTF_8);
        assertThat(EventSplitter.id(event)).contains("12");
    }

    // Guards against memory that is used up by an event that never ends.
    @Test
    void endlessEventIsOverlongBeforeItTakesMuchMemory() {
        for (int part = 0; part < 18; part++) {
            add("a".repeat(8 * 1024));
            assertThat(events()).isEmpty();
            assertThat(mSplitter.isOverlong()).isFalse();
        }
        add("a");
        assertThat(mSplitter.isOverlong()).isTrue();
    }

    // Guards against long events being cut or lost: they are passed on without a copy.
    @Test
    void longEventIsWholeAndTheNextOneFollows() {
        final String event = "data: " + "a".repeat(100 * 1024) + "\n\n";
        final String stream = event + "data: b\n\nda" + "ta: c\n\n";
        final List<String> events = new ArrayList<>();
        for (int from = 0; from < stream.length(); from += 8 * 1024) {
            add(stream.substring(from, Math.min(from + 8 * 1024, stream.length())));
            events.addAll(events());
            assertThat(mSplitter.isOverlong()).isFalse();
        }
        assertThat(events).containsExactly(event, "data: b\n\n", "data: c\n\n");
    }

    // Guards against an end of a line or an event being missed between the parts in which it comes.
    @Test
    void streamInSingleBytesIsSplitIntoWholeEvents() {
        final List<String> events = new ArrayList<>();
        for (final char next : "id: 1\r\ndata: a\r\n\r\ndata: b\n\n".toCharArray()) {
            add(String.valueOf(next));
            events.addAll(events());
        }
        assertThat(events).containsExactly("id: 1\r\ndata: a\r\n\r\n", "data: b\n\n");
        assertThat(mSplitter.pendingBytes()).isZero();
    }
}
