package org.whinhead.gateway.store;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.rollout.RolloutOrder;

/** Puts the operator's configuration and orders in force as the store shows them. */
public final class ConfigurationTopicListener implements TopicListener {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationTopicListener.class);

    private final ServingState mState;
    private final ConfigurationDecoder mDecoder;
    private final String mConfigurationKey;
    private final OperatorRolloutCodec mRolloutCodec;
    private Runnable mOnRead = () -> {};
    private Consumer<RolloutOrder> mOnEarlierOrder = order -> {};
    private Runnable mOnChange = () -> {};

    /**
     * Makes a watch.
     *
     * @param state gets the configuration
     * @param decoder reads it
     * @param key the key of the record that holds it
     * @param rollouts reads orders of roll-outs
     */
    public ConfigurationTopicListener(
            final ServingState state,
            final ConfigurationDecoder decoder,
            final String key,
            final OperatorRolloutCodec rollouts) {
        mState = state;
        mDecoder = decoder;
        mConfigurationKey = key;
        mRolloutCodec = rollouts;
    }

    /**
     * Sets what is done with an order that is older than this daemon's reading of the store, and
     * may have been decided.
     *
     * @param onEarlierOrder takes the order
     */
    public void onEarlierOrder(final Consumer<RolloutOrder> onEarlierOrder) {
        mOnEarlierOrder = onEarlierOrder;
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
            mRolloutCodec
                    .decodeOrder(record)
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
            LOG.error("order of a roll-out not understood, nothing is done for it", e);
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
        mOnRead.run();
    }

    private void applyConfiguration(final byte[] value) {
        final ServingConfiguration configuration;
        try {
            configuration = mDecoder.decode(value);
        } catch (UnreadableRecordException e) {
            LOG.error("configuration not understood, the one before stays in force", e);
            return;
        }
        if (mState.configuration().offer(configuration)) {
            mState.quotas().configure(configuration.customers(), mState.moment());
            LOG.atInfo()
                    .addKeyValue("version", configuration.version())
                    .log("configuration in force");
            mOnChange.run();
        }
    }

    @Override
    public void onUnreachable(final Throwable cause) {
        // The configuration in force stays; the follower has logged the outage.
    }
}
