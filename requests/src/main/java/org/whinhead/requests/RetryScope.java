package org.whinhead.requests;

import java.time.Instant;

/** What one deadline and one count of possible runs cover. */
public enum RetryScope {
    /** The whole request, whether an attempt fails before its answer or in it; the default. */
    REQUEST {
        @Override
        void onAnswerBegan(final RequestState state, final Instant now) {
            // The bounds of the request hold on.
        }
    },
    /** One attempt: once its answer has begun, deadline and count start anew. */
    ATTEMPT {
        @Override
        void onAnswerBegan(final RequestState state, final Instant now) {
            state.restartBounds(now);
        }
    };

    abstract void onAnswerBegan(RequestState state, Instant now);
}
