package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {

    private final EventSplitter mSplitter = new EventSplitter(ByteBufAllocator.DEFAULT);

    private void add(final String text) {
        mSplitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Returns the next event alone; the one behind it is rejected for now. */
    private Optional<ByteBuf> nextEvent() {
        final AtomicBoolean first = new AtomicBoolean(true);
        return mSplitter.next(id -> first.getAndSet(false));
    }

    private List<String> events() {
        final List<String> events = new ArrayList<>();
        Optional<ByteBuf> event = nextEvent();
        while (event.isPresent()) {
            events.add(event.get().toString(StandardCharsets.UTF_8));
            event = nextEvent();
        }
        return events;
    }

    private List<String> batches(final EventSplitter.EventFilter filter) {
        final List<String> batches = new ArrayList<>();
        Optional<ByteBuf> batch = mSplitter.next(filter);
        while (batch.isPresent()) {
            batches.add(batch.get().toString(StandardCharsets.UTF_8));
            batch = mSplitter.next(filter);
        }
        return batches;
    }

    @Test
    void streamIsSplitIntoWholeEvents() {
        add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(events()).containsExactly("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");
        assertThat(mSplitter.hasPartialEvent()).isFalse();
        assertThat(mSplitter.removeBlankLines()).isEmpty();
    }

    // Guards against a caller receiving half an event and then the whole event from the endpoint
    // that continues the stream, after the first endpoint crashed within the event.
    @Test
    void partialEventIsNotReturnedAndCanBeDiscarded() {
        add("id: 1\ndata: a\n\nid: 2\nda");
        assertThat(events()).containsExactly("id: 1\ndata: a\n\n");
        assertThat(mSplitter.hasPartialEvent()).isTrue();
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
        final List<Optional<String>> ids = new ArrayList<>();
        add("data: id: 9\nid: 12\n\ndata: y\n\n");
        mSplitter.next(ids::add);
        assertThat(ids).containsExactly(Optional.of("12"), Optional.empty());
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
        assertThat(mSplitter.hasPartialEvent()).isFalse();
        assertThat(mSplitter.removeBlankLines()).isEmpty();
    }

    // Guards against a write for each of many small events that were received together.
    @Test
    void eventsThatFollowEachOtherAreOneBuffer() {
        add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n: c\n\nid: 3\nda");
        assertThat(batches(id -> true))
                .containsExactly("id: 1\ndata: a\n\nid: 2\ndata: b\n\n: c\n\n");
        add("ta: d\n\n");
        assertThat(batches(id -> true)).containsExactly("id: 3\ndata: d\n\n");
    }

    @Test
    void rejectedEventsAreDropped() {
        add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: a\n\nid: 3\ndata: c\n\n");
        assertThat(batches(id -> !id.equals(Optional.of("1"))))
                .containsExactly("id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n");
    }

    // Guards against the event loop being busy with line ends that are no events.
    @Test
    void lineEndsAreNoEventsAndOverlongWithoutEnd() {
        add("data: a\n\n");
        assertThat(events()).hasSize(1);
        int sent = 0;
        while (!mSplitter.isOverlong()) {
            add("\n".repeat(8 * 1024));
            assertThat(events()).isEmpty();
            assertThat(mSplitter.hasPartialEvent()).isFalse();
            sent += 8 * 1024;
        }
        assertThat(sent).isEqualTo(152 * 1024);
    }

    @Test
    void blankLinesBelongToTheNextEvent() {
        add("data: a\n\n\n\r\n\ndata: b\n\n\n");
        assertThat(events()).containsExactly("data: a\n\n", "\n\r\n\ndata: b\n\n");
        assertThat(mSplitter.hasPartialEvent()).isFalse();
        assertThat(mSplitter.removeBlankLines().orElseThrow().toString(StandardCharsets.UTF_8))
                .isEqualTo("\n");
    }

    // Guards against an endpoint that sends events without data until its caller's deadline.
    @ParameterizedTest
    @ValueSource(strings = {": c\n\n", "id: 1\n\n", "event: e\n\n"})
    void eventsWithoutDataAreOverlongWithoutEnd(final String event) {
        int sent = 0;
        while (!mSplitter.isOverlong()) {
            add(event.repeat(1_000));
            batches(id -> true);
            sent += event.length() * 1_000;
        }
        assertThat(sent).isBetween(64 * 1024, 75 * 1024);
    }

    @Test
    void keepAliveCommentsBetweenEventsAreNotOverlong() {
        for (int event = 0; event < 1_000; event++) {
            add(": keep-alive\n\n".repeat(50) + "data: a\n\n");
            assertThat(batches(id -> true)).hasSize(1);
            assertThat(mSplitter.isOverlong()).isFalse();
        }
    }
}
