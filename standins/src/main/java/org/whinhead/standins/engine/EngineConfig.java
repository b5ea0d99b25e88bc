package org.whinhead.standins.engine;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.Arguments;

/**
 * Settings of one engine.
 *
 * @param name the engine's name, the prefix of its stream ids
 * @param host the address to listen on
 * @param port the port, or 0 for a free one
 * @param models the initially loaded models, each as {@code name@version}
 * @param slots the maximum number of requests in a batch
 * @param maxWaiting the maximum number of queued requests; more are refused
 * @param speed the duration of decoding and prefill steps
 * @param cacheBlocks the capacity of the prefix cache in blocks
 * @param loadLag the age of load reports
 * @param cacheEventLag the delay of cache events
 * @param cacheEventGap every nth cache event is lost; 0 for none
 * @param readerGrace the time for which a stream continues without a reader
 * @param checksFencing whether the engine refuses orders with an old fencing number
 * @param weights the weight store from which models are loaded, if any
 */
public record EngineConfig(
        String name,
        String host,
        int port,
        Set<String> models,
        int slots,
        int maxWaiting,
        EngineSpeed speed,
        int cacheBlocks,
        Duration loadLag,
        Duration cacheEventLag,
        int cacheEventGap,
        Duration readerGrace,
        boolean checksFencing,
        Optional<URI> weights) {

    /** Validates the components. */
    public EngineConfig {
        Arguments.requireText(name, "name");
        Arguments.requireText(host, "host");
        models = Set.copyOf(models);
        Arguments.requireAtLeast(slots, 1, "slots");
        Arguments.requireAtLeast(maxWaiting, 0, "maxWaiting");
        Objects.requireNonNull(speed, "speed");
        Arguments.requireAtLeast(cacheBlocks, 0, "cacheBlocks");
        Objects.requireNonNull(loadLag, "loadLag");
        Objects.requireNonNull(cacheEventLag, "cacheEventLag");
        Objects.requireNonNull(readerGrace, "readerGrace");
        Objects.requireNonNull(weights, "weights");
    }

    /**
     * Returns a builder with default settings.
     *
     * @param name the engine's name
     * @return the builder
     */
    public static Builder builder(final String name) {
        return new Builder(name);
    }

    /** Builds an {@link EngineConfig}. */
    public static final class Builder {
        private final String mName;
        private String mHost = "127.0.0.1";
        private int mPort;
        private Set<String> mModels = Set.of("summary@1");
        private int mSlots = 8;
        private int mMaxWaiting = 64;
        private EngineSpeed mSpeed = EngineSpeed.TYPICAL;
        private int mCacheBlocks = 512;
        private Duration mLoadLag = Duration.ofSeconds(1);
        private Duration mCacheEventLag = Duration.ofSeconds(2);
        private int mCacheEventGap = 20;
        private Duration mReaderGrace = Duration.ofSeconds(10);
        private boolean mChecksFencing = true;
        private Optional<URI> mWeights = Optional.empty();

        private Builder(final String name) {
            mName = name;
        }

        /** Sets the address to listen on; default is a free port of 127.0.0.1. */
        public Builder address(final String host, final int port) {
            mHost = host;
            mPort = port;
            return this;
        }

        /** Sets the initially loaded models. */
        public Builder models(final Set<String> models) {
            mModels = models;
            return this;
        }

        /** Sets the batch size and the queue length. */
        public Builder slots(final int slots, final int maxWaiting) {
            mSlots = slots;
            mMaxWaiting = maxWaiting;
            return this;
        }

        /** Sets the duration of decoding and prefill steps. */
        public Builder speed(final EngineSpeed speed) {
            mSpeed = speed;
            return this;
        }

        /** Multiplies the engine's speed by a factor. */
        public Builder speedUp(final double factor) {
            mSpeed = mSpeed.times(factor);
            return this;
        }

        /** Sets the capacity of the prefix cache in blocks. */
        public Builder cacheBlocks(final int blocks) {
            mCacheBlocks = blocks;
            return this;
        }

        /** Sets the age of load reports. */
        public Builder loadLag(final Duration lag) {
            mLoadLag = lag;
            return this;
        }

        /** Sets the delay of cache events, and the interval of lost events; 0 loses none. */
        public Builder cacheEvents(final Duration lag, final int gap) {
            mCacheEventLag = lag;
            mCacheEventGap = gap;
            return this;
        }

        /** Sets the time for which a stream continues without a reader. */
        public Builder readerGrace(final Duration grace) {
            mReaderGrace = grace;
            return this;
        }

        /** Sets whether the engine refuses orders with an old fencing number. */
        public Builder checksFencing(final boolean checks) {
            mChecksFencing = checks;
            return this;
        }

        /** Sets the weight store from which models are loaded. */
        public Builder weights(final URI store) {
            mWeights = Optional.of(store);
            return this;
        }

        /** Builds the settings. */
        public EngineConfig build() {
            return new EngineConfig(
                    mName,
                    mHost,
                    mPort,
                    mModels,
                    mSlots,
                    mMaxWaiting,
                    mSpeed,
                    mCacheBlocks,
                    mLoadLag,
                    mCacheEventLag,
                    mCacheEventGap,
                    mReaderGrace,
                    mChecksFencing,
                    mWeights);
        }
    }
}
