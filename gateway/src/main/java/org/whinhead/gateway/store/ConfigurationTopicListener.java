package org.whinhead.gateway.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.relay.ConfigurationCopy;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.rollout.RolloutOrder;

/** Applies the operator's configuration and rollout orders from the store. */
public final class ConfigurationTopicListener implements TopicListener {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationTopicListener.class);

    /** The entries of one version that are named in the log. */
    private static final int MAX_LOGGED_ENTRIES = 20;

    private final ServingState mState;
    private final ConfigurationDecoder mDecoder;
    private final String mConfigurationKey;
    private final OperatorRolloutCodec mRolloutCodec;
    private Optional<ConfigurationCopy> mCopy = Optional.empty();
    private Runnable mOnRead = () -> {};
    private Consumer<RolloutOrder> mOnEarlierOrder = order -> {};
    private Runnable mOnChange = () -> {};

    /**
     * Creates a listener.
     *
     * @param state receives the configuration and the orders
     * @param decoder decodes the configuration
     * @param configurationKey the key of the configuration's record
     * @param rolloutCodec decodes rollout orders
     */
    public ConfigurationTopicListener(
            final ServingState state,
            final ConfigurationDecoder decoder,
            final String configurationKey,
            final OperatorRolloutCodec rolloutCodec) {
        mState = state;
        mDecoder = decoder;
        mConfigurationKey = configurationKey;
        mRolloutCodec = rolloutCodec;
    }

    /**
     * Sets the handler of orders older than this daemon's first read, which may be decided.
     *
     * @param onEarlierOrder receives the order
     */
    public void onEarlierOrder(final Consumer<RolloutOrder> onEarlierOrder) {
        mOnEarlierOrder = onEarlierOrder;
    }

    /**
     * Sets the action after each read.
     *
     * @param onRead runs after a read, also if nothing was new
     */
    public void onRead(final Runnable onRead) {
        mOnRead = onRead;
    }

    /**
     * Sets the action after a change of the configuration.
     *
     * @param onChange runs once the new version is in force
     */
    public void onChange(final Runnable onChange) {
        mOnChange = onChange;
    }

    @Override
    public void onSnapshot(final List<StoreRecord> records, final long end) {
        records.forEach(record -> applyOrder(record, mOnEarlierOrder));
        applyNewestConfiguration(records);
    }

    @Override
    public void onAppended(final List<StoreRecord> records) {
        records.forEach(record -> applyOrder(record, order -> {}));
        applyNewestConfiguration(records);
    }

    private void applyOrder(final StoreRecord record, final Consumer<RolloutOrder> ifNew) {
        try {
            RecordDecoding.decode(() -> mRolloutCodec.decodeOrder(record))
                    .filter(mState.rollouts()::addOrder)
                    .ifPresent(
                            order -> {
                                LOG.atInfo()
                                        .addKeyValue("service", order.service())
                                        .addKeyValue("version", order.version())
                                        .addKeyValue("timeBudget", order.timeBudget())
                                        .addKeyValue("offset", order.offset())
                                        .log("roll-out ordered");
                                ifNew.accept(order);
                            });
        } catch (UnreadableRecordException e) {
            LOG.error("rollout order not readable, ignored", e);
        }
    }

    private void applyNewestConfiguration(final List<StoreRecord> records) {
        Optional<byte[]> newest = Optional.empty();
        for (final StoreRecord record : records) {
            if (record.key().equals(mConfigurationKey) && record.value().isPresent()) {
                newest = record.value();
            }
        }
        newest.ifPresent(this::applyConfiguration);
        mState.configurationProgress().recordRead(mState.clock().instant());
        mOnRead.run();
    }

    /**
     * Applies a record that another daemon has read.
     *
     * @param value the value of the configuration's record
     */
    public void applyCopy(final byte[] value) {
        applyConfiguration(value);
    }

    /**
     * Returns the record of the configuration in force.
     *
     * @return the record as read from the store; empty before the first one
     */
    public Optional<ConfigurationCopy> copy() {
        return mCopy;
    }

    private void applyConfiguration(final byte[] value) {
        final ServingConfiguration configuration;
        try {
            configuration = RecordDecoding.decode(() -> mDecoder.decode(value));
        } catch (UnreadableRecordException e) {
            mState.configurationProgress().recordUnreadable();
            LOG.atError()
                    .addKeyValue("cause", rootMessage(e))
                    .log("configuration not readable, the previous one stays in force");
            return;
        }
        if (mState.offerConfiguration(configuration)) {
            mCopy = Optional.of(new ConfigurationCopy(configuration.version(), value));
            mState.quotas().configure(configuration.customers(), mState.moment());
            LOG.atInfo()
                    .addKeyValue("version", configuration.version())
                    .addKeyValue("rejectedEntries", configuration.rejected().entries().size())
                    .log("configuration in force");
            logRejected(configuration);
            mOnChange.run();
        }
    }

    private static void logRejected(final ServingConfiguration configuration) {
        configuration.rejected().entries().stream()
                .limit(MAX_LOGGED_ENTRIES)
                .forEach(
                        entry ->
                                LOG.atError()
                                        .addKeyValue("version", configuration.version())
                                        .addKeyValue("entry", entry.path())
                                        .addKeyValue("reason", entry.reason())
                                        .log("configuration entry can't be used, left out"));
    }

    private static String rootMessage(final Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return String.valueOf(cause.getMessage());
    }

    @Override
    public void onUnreachable(final Throwable cause) {
        // The configuration in force stays; the follower logs the outage.
        mState.configurationProgress().recordReadFailure(String.valueOf(cause.getMessage()));
    }
}
