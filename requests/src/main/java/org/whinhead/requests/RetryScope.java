package org.whinhead.requests;

import java.time.Instant;

/** The scope of the deadline and of the count of possible runs. */
public enum RetryScope {
    /** The whole request, whether an attempt fails before or during its answer; the default. */
    REQUEST {
        @Override
        void onAnswerBegan(final RequestState state, final Instant now) {
            // The bounds of the request continue to apply.
        }
    },
    /** One attempt: the deadline and the count restart when its answer begins. */
    ATTEMPT {
        @Override
        void onAnswerBegan(final RequestState state, final Instant now) {
            state.restartBounds(now);
        }
    };

    abstract void onAnswerBegan(RequestState state, Instant now);
}
