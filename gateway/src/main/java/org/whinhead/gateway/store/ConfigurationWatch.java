package org.whinhead.gateway.store;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.configuration.ServingConfiguration;

/** Puts the operator's configuration in force as the store shows it. */
public final class ConfigurationWatch implements TopicListener {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationWatch.class);

    private final ServingState mState;
    private final ConfigurationDecoder mDecoder;
    private final String mKey;
    private Runnable mOnRead = () -> {};
    private Runnable mOnChange = () -> {};

    /**
     * Makes a watch.
     *
     * @param state gets the configuration
     * @param decoder reads it
     * @param key the key of the record that holds it
     */
    public ConfigurationWatch(
            final ServingState state, final ConfigurationDecoder decoder, final String key) {
        mState = state;
        mDecoder = decoder;
        mKey = key;
    }

    /**
     * Sets what is done behind each read.
     *
     * @param onRead runs after a read, whatever it found
     */
    public void onRead(final Runnable onRead) {
        mOnRead = onRead;
    }

    /**
     * Sets what is done when another version is in force.
     *
     * @param onChange runs after it came in force
     */
    public void onChange(final Runnable onChange) {
        mOnChange = onChange;
    }

    @Override
    public void snapshot(final List<StoreRecord> records, final long end) {
        appended(records);
    }

    @Override
    public void appended(final List<StoreRecord> records) {
        Optional<byte[]> newest = Optional.empty();
        for (final StoreRecord record : records) {
            if (record.key().equals(mKey) && record.value().isPresent()) {
                newest = record.value();
            }
        }
        newest.ifPresent(this::offer);
        mOnRead.run();
    }

    private void offer(final byte[] value) {
        final ServingConfiguration configuration;
        try {
            configuration = mDecoder.decode(value);
        } catch (UnreadableRecordException e) {
            LOG.error("configuration not understood, the one before stays in force", e);
            return;
        }
        if (mState.configuration().offer(configuration)) {
            mState.quotas().configure(configuration.customers(), mState.clock().instant());
            LOG.atInfo()
                    .addKeyValue("version", configuration.version())
                    .log("configuration in force");
            mOnChange.run();
        }
    }

    @Override
    public void unreachable(final Throwable cause) {
        // The configuration in force stays; the follower has logged the outage.
    }
}
