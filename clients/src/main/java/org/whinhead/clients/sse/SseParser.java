package org.whinhead.clients.sse;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.Consumer;

/** Parses a byte stream, split at any position, into server-sent events. */
public final class SseParser {

    private static final int LINE_FEED = '\n';
    private static final int CARRIAGE_RETURN = '\r';

    private final Consumer<SseEvent> mEventHandler;
    private final int mMaxEventBytes;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private final StringBuilder mData = new StringBuilder();
    private String mId = "";
    private String mName = "";
    private boolean mHasData;

    /**
     * Creates a parser for one stream.
     *
     * @param maxEventBytes the maximum size of the current line and the data of the event together
     * @param eventHandler receives each complete event
     */
    public SseParser(final int maxEventBytes, final Consumer<SseEvent> eventHandler) {
        mMaxEventBytes = maxEventBytes;
        mEventHandler = Objects.requireNonNull(eventHandler, "eventHandler");
    }

    /**
     * Parses the next bytes and passes each completed event to the handler.
     *
     * @param bytes the next bytes of the stream
     * @return false if an event exceeds the size limit; the parser must not be used afterwards
     */
    public boolean feed(final ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            final int next = bytes.get();
            if (next == LINE_FEED) {
                parseLine(mLine.toString(StandardCharsets.UTF_8));
                mLine.reset();
            } else if (next != CARRIAGE_RETURN) {
                mLine.write(next);
            }
            if (mLine.size() + mData.length() > mMaxEventBytes) {
                return false;
            }
        }
        return true;
    }

    private void parseLine(final String line) {
        if (line.isEmpty()) {
            endEvent();
            return;
        }
        final int colon = line.indexOf(':');
        if (colon == 0) {
            return;
        }
        final String field = colon < 0 ? line : line.substring(0, colon);
        applyField(field, colon < 0 ? "" : valueAfter(line, colon));
    }

    private static String valueAfter(final String line, final int colon) {
        final int start = line.startsWith(" ", colon + 1) ? colon + 2 : colon + 1;
        return line.substring(start);
    }

    private void applyField(final String field, final String value) {
        switch (field) {
            case "id" -> mId = value;
            case "event" -> mName = value;
            case "data" -> appendData(value);
            default -> {
                // The format requires that unknown fields are ignored.
            }
        }
    }

    private void appendData(final String value) {
        if (mHasData) {
            mData.append('\n');
        }
        mHasData = true;
        mData.append(value);
    }

    private void endEvent() {
        if (mHasData) {
            mEventHandler.accept(new SseEvent(mId, mName, mData.toString()));
        }
        mId = "";
        mName = "";
        mData.setLength(0);
        mHasData = false;
    }
}
