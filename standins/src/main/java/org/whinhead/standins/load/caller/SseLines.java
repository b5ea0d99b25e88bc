package org.whinhead.standins.load.caller;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.StringJoiner;
import java.util.function.Consumer;

/** Joins the lines of a stream into events; comments go to a receiver of their own. */
final class SseLines {

    private static final String LINE_SEPARATOR = "\n";

    private final Consumer<SseEvent> mEvents;
    private final Consumer<String> mComments;
    private String mName = "";
    private OptionalLong mId = OptionalLong.empty();
    private StringJoiner mData;

    /**
     * Begins a stream.
     *
     * @param events receives each event
     * @param comments receives the text of each comment line
     */
    SseLines(final Consumer<SseEvent> events, final Consumer<String> comments) {
        mEvents = Objects.requireNonNull(events, "events");
        mComments = Objects.requireNonNull(comments, "comments");
    }

    /**
     * Takes in a line.
     *
     * @param line the line, without its end
     */
    void line(final String line) {
        if (line.isEmpty()) {
            dispatch();
            return;
        }
        final int colon = line.indexOf(':');
        if (colon == 0) {
            mComments.accept(line.substring(1).trim());
            return;
        }
        final String field = colon < 0 ? line : line.substring(0, colon);
        final String value = colon < 0 ? "" : withoutBlank(line.substring(colon + 1));
        field(field, value);
    }

    private void field(final String field, final String value) {
        switch (field) {
            case "event" -> mName = value;
            case "id" -> mId = number(value);
            case "data" -> data(value);
            default -> {
                // The standard has unknown fields ignored.
            }
        }
    }

    private void data(final String value) {
        if (mData == null) {
            mData = new StringJoiner(LINE_SEPARATOR);
        }
        mData.add(value);
    }

    private void dispatch() {
        final SseEvent event = new SseEvent(mName, mId, mData == null ? "" : mData.toString());
        final boolean empty = mData == null;
        mName = "";
        mId = OptionalLong.empty();
        mData = null;
        if (!empty) {
            mEvents.accept(event);
        }
    }

    private static String withoutBlank(final String value) {
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    private static OptionalLong number(final String value) {
        try {
            return OptionalLong.of(Long.parseLong(value));
        } catch (final NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
