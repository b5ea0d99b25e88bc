package org.whinhead.serving.balance;

import org.whinhead.serving.endpoint.EndpointEntry;

/** A request's place at an endpoint; its load counts until the request has left. */
public final class Placement {

    private final EndpointEntry mEndpoint;
    private final EndpointLoad mLoad;
    private final int mUnreadTokens;
    private boolean mRead;
    private boolean mEnded;

    Placement(final EndpointEntry endpoint, final EndpointLoad load, final int unreadTokens) {
        mEndpoint = endpoint;
        mLoad = load;
        mUnreadTokens = unreadTokens;
    }

    public EndpointEntry endpoint() {
        return mEndpoint;
    }

    public EndpointLoad load() {
        return mLoad;
    }

    /** Notes the first token: the prompt no longer delays others. */
    public void promptRead() {
        if (!mRead) {
            mRead = true;
            mLoad.promptRead(mUnreadTokens);
        }
    }

    /** Notes that the endpoint no longer works on the request. */
    public void ended() {
        if (!mEnded) {
            mEnded = true;
            promptRead();
            mLoad.ended();
        }
    }
}
