package org.whinhead.standins.engine;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.Arguments;

/**
 * One engine's settings.
 *
 * @param name its name, which begins its stream ids
 * @param host the address to listen on
 * @param port the port, or 0 for a free one
 * @param models the models loaded at the start, each as {@code name@version}
 * @param slots the most requests in a batch
 * @param maxWaiting the most requests that wait; more are refused
 * @param speed how long its work takes
 * @param cacheBlocks how many prefix blocks its cache holds
 * @param loadLag how old its load reports are
 * @param cacheEventLag how late its cache events are
 * @param cacheEventGap every how many events one is lost; 0 for none
 * @param readerGrace how long a stream goes on without a reader
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param weights the weight store that load orders go through, if any
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

    /** Checks every part. */
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
     * Starts a builder.
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

        /** Sets where it listens; a free port of 127.0.0.1 by default. */
        public Builder address(final String host, final int port) {
            mHost = host;
            mPort = port;
            return this;
        }

        /** Sets the models loaded at the start. */
        public Builder models(final Set<String> models) {
            mModels = models;
            return this;
        }

        /** Sets the batch size and the length of the queue. */
        public Builder slots(final int slots, final int maxWaiting) {
            mSlots = slots;
            mMaxWaiting = maxWaiting;
            return this;
        }

        /** Sets how long its work takes. */
        public Builder speed(final EngineSpeed speed) {
            mSpeed = speed;
            return this;
        }

        /** Makes its work faster by a factor. */
        public Builder speedUp(final double factor) {
            mSpeed = mSpeed.times(factor);
            return this;
        }

        /** Sets how many prefix blocks its cache holds. */
        public Builder cacheBlocks(final int blocks) {
            mCacheBlocks = blocks;
            return this;
        }

        /** Sets how old its load reports are. */
        public Builder loadLag(final Duration lag) {
            mLoadLag = lag;
            return this;
        }

        /** Sets how late its cache events are, and every how many one is lost. */
        public Builder cacheEvents(final Duration lag, final int gap) {
            mCacheEventLag = lag;
            mCacheEventGap = gap;
            return this;
        }

        /** Sets how long a stream goes on without a reader. */
        public Builder readerGrace(final Duration grace) {
            mReaderGrace = grace;
            return this;
        }

        /** Sets whether it refuses orders with an old fencing number. */
        public Builder checksFencing(final boolean checks) {
            mChecksFencing = checks;
            return this;
        }

        /** Sets the weight store that load orders go through. */
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
