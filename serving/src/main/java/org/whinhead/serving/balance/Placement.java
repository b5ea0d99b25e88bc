package org.whinhead.serving.balance;

import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/** A request's place at an endpoint; its load counts until the request has left. */
public final class Placement {

    private final EndpointEntry mEndpoint;
    private final EndpointLoad mLoad;
    private final int mUnreadTokens;
    private final Optional<EndpointEntry> mPromptSource;
    private boolean mRead;
    private boolean mEnded;

    Placement(
            final EndpointEntry endpoint,
            final EndpointLoad load,
            final int unreadTokens,
            final Optional<EndpointEntry> promptSource) {
        mEndpoint = endpoint;
        mLoad = load;
        mUnreadTokens = unreadTokens;
        mPromptSource = promptSource;
    }

    public EndpointEntry endpoint() {
        return mEndpoint;
    }

    /**
     * Names the endpoint that has more of the prompt cached than this one.
     *
     * @return where this one should copy shared parts from instead of reading them again
     */
    public Optional<EndpointEntry> promptSource() {
        return mPromptSource;
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
