package org.whinhead.serving.speed;

/** The steps of a request whose time shows the speed of its endpoint. */
public enum SpeedKind {
    /** The time to the first token: it also depends on prompts and caches known only in part. */
    FIRST_TOKEN(0.25),
    /** The time between tokens, which depends on the engine and its running requests only. */
    BETWEEN_TOKENS(1),
    /** The time of a whole call to a plain service. */
    CALL(1);

    private final double mWeight;

    SpeedKind(final double weight) {
        mWeight = weight;
    }

    /** Returns the weight of one sample. */
    double weight() {
        return mWeight;
    }
}
