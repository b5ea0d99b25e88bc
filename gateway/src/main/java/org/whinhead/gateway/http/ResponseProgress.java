package org.whinhead.gateway.http;

/** What was received of the response on one connection. */
public final class ResponseProgress {

    private int mUndecodedBytes;
    private int mInterimResponses;
    private boolean mInBody;
    private boolean mFailed;

    ResponseProgress() {}

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
