package org.whinhead.gateway.http;

import io.netty.channel.Channel;
import java.util.Objects;

/** Pauses the reading of a connection, for which several handlers may have a reason. */
public final class ReadControl {

    private final Channel mChannel;
    private boolean mWanted = true;
    private boolean mDecoderBehind;

    ReadControl(final Channel channel) {
        mChannel = Objects.requireNonNull(channel, "channel");
    }

    /**
     * Sets whether the receiver of the response takes more of it.
     *
     * @param wanted false to pause
     */
    public void setWanted(final boolean wanted) {
        mWanted = wanted;
        apply();
    }

    /** Sets whether the decoder holds bytes that it decodes in a later turn. */
    void setDecoderBehind(final boolean behind) {
        mDecoderBehind = behind;
        apply();
    }

    boolean isDecoderBehind() {
        return mDecoderBehind;
    }

    private void apply() {
        mChannel.config().setAutoRead(mWanted && !mDecoderBehind);
    }
}
