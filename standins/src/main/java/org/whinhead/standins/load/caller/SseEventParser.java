package org.whinhead.standins.load.caller;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.StringJoiner;
import java.util.function.Consumer;

/** Parses the lines of a server-sent event stream into events and comments. */
final class SseEventParser {

    private static final String LINE_SEPARATOR = "\n";

    private final Consumer<ReceivedSseEvent> mEventReceiver;
    private final Consumer<String> mCommentReceiver;
    private String mName = "";
    private OptionalLong mId = OptionalLong.empty();
    private StringJoiner mData;

    /**
     * Creates a parser at the start of a stream.
     *
     * @param events receives each event
     * @param comments receives the text of each comment line
     */
    SseEventParser(final Consumer<ReceivedSseEvent> events, final Consumer<String> comments) {
        mEventReceiver = Objects.requireNonNull(events, "events");
        mCommentReceiver = Objects.requireNonNull(comments, "comments");
    }

    /**
     * Parses the next line; an empty line ends an event.
     *
     * @param line the line, without its line terminator
     */
    void parseLine(final String line) {
        if (line.isEmpty()) {
            dispatch();
            return;
        }
        final int colon = line.indexOf(':');
        if (colon == 0) {
            mCommentReceiver.accept(line.substring(1).trim());
            return;
        }
        final String field = colon < 0 ? line : line.substring(0, colon);
        final String value = colon < 0 ? "" : withoutLeadingSpace(line.substring(colon + 1));
        parseField(field, value);
    }

    private void parseField(final String field, final String value) {
        switch (field) {
            case "event" -> mName = value;
            case "id" -> mId = parseId(value);
            case "data" -> appendData(value);
            default -> {
                // The standard requires unknown fields to be ignored.
            }
        }
    }

    private void appendData(final String value) {
        if (mData == null) {
            mData = new StringJoiner(LINE_SEPARATOR);
        }
        mData.add(value);
    }

    private void dispatch() {
        final ReceivedSseEvent event =
                new ReceivedSseEvent(mName, mId, mData == null ? "" : mData.toString());
        final boolean isEmpty = mData == null;
        mName = "";
        mId = OptionalLong.empty();
        mData = null;
        if (!isEmpty) {
            mEventReceiver.accept(event);
        }
    }

    private static String withoutLeadingSpace(final String value) {
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    private static OptionalLong parseId(final String value) {
        try {
            return OptionalLong.of(Long.parseLong(value));
        } catch (final NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
