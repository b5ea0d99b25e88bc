package org.whinhead.gateway.http;

import java.util.Optional;

/** What was received of the response on one connection. */
public final class ResponseProgress {

    private final ReadControl mReading;
    private int mUndecodedBytes;
    private int mInterimResponses;
    private boolean mInBody;
    private boolean mFailed;
    private boolean mInputEnded;
    private Optional<String> mJoinedHead = Optional.empty();
    private LeftOver mLeftOver = LeftOver.NOTHING;
    private int mLeftOverBytes;

    ResponseProgress(final ReadControl reading) {
        mReading = reading;
    }

    /**
     * Returns what pauses the reading of the connection.
     *
     * @return the control, by which alone reading is to be paused
     */
    public ReadControl reading() {
        return mReading;
    }

    void bytesReceived(final int count) {
        mUndecodedBytes += count;
    }

    void messageDecoded() {
        mUndecodedBytes = 0;
    }

    void interimReceived() {
        mInterimResponses++;
    }

    void headReceived() {
        mInterimResponses = 0;
        mInBody = true;
    }

    void ended() {
        mInBody = false;
    }

    /** Records where the head contains another status line. */
    void joinedHead(final Optional<String> place) {
        mJoinedHead = place;
    }

    /** Records what was received with the end of the response and doesn't belong to it. */
    void leftOver(final LeftOver leftOver, final int bytes) {
        mLeftOver = leftOver;
        mLeftOverBytes = bytes;
    }

    /**
     * Returns where the head of the response contains another status line.
     *
     * @return "reason phrase", or the name of a field; empty if there is none
     */
    public Optional<String> joinedHead() {
        return mJoinedHead;
    }

    /**
     * Returns what was received together with the end of the last response and doesn't belong to
     * it.
     *
     * @return the kind of the bytes; {@code NOTHING} if no response has ended
     */
    public LeftOver leftOver() {
        return mLeftOver;
    }

    /**
     * Returns the number of these bytes.
     *
     * @return the bytes
     */
    public int leftOverBytes() {
        return mLeftOverBytes;
    }

    /** Records that the server has closed its side of the connection in order. */
    void inputEnded() {
        mInputEnded = true;
    }

    /**
     * Returns whether the server has closed its side of the connection in order. A connection may
     * also be closed here, or as a write has failed, which says nothing of the response.
     *
     * @return true if all that the server has sent was received
     */
    public boolean isInputEnded() {
        return mInputEnded;
    }

    /** Records that a limit was exceeded: nothing more is passed on. */
    void fail() {
        mFailed = true;
    }

    boolean isFailed() {
        return mFailed;
    }

    int undecodedBytes() {
        return mUndecodedBytes;
    }

    int interimResponses() {
        return mInterimResponses;
    }

    boolean isInBody() {
        return mInBody;
    }

    /**
     * Returns whether the server sends something of which nothing was passed on: a part of a head
     * or of a line between the chunks of a body, or interim responses.
     *
     * @return true if such bytes were received since the last part of a response
     */
    public boolean hasUndecoded() {
        return mUndecodedBytes > 0 || mInterimResponses > 0;
    }
}
