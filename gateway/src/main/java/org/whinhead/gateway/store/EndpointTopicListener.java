package org.whinhead.gateway.store;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointRegistry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.endpoint.EntryEffect;

/** Updates the endpoint registry from the store and from other daemons' changes. */
public final class EndpointTopicListener implements TopicListener {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointTopicListener.class);

    /** Maximum number of remembered unreadable entries; each is logged once until then. */
    private static final int MAX_LOGGED_UNREADABLE = 200;

    private final Set<String> mLoggedUnreadable = new HashSet<>();
    private final ServingState mState;
    private final EndpointConnections mConnections;
    private final EndpointDecoder mDecoder;
    private Runnable mOnChange = () -> {};
    private Consumer<EndpointEntry> mOnLeaving = entry -> {};
    private Runnable mOnRead = () -> {};
    private final List<EndpointChange> mChanges = new ArrayList<>();
    private long mEnd;
    private boolean mLoaded;

    /**
     * Creates a listener.
     *
     * @param state receives the endpoints
     * @param connections the connections to close for removed endpoints
     * @param decoder decodes the endpoints' entries
     */
    public EndpointTopicListener(
            final ServingState state,
            final EndpointConnections connections,
            final EndpointDecoder decoder) {
        mState = state;
        mConnections = connections;
        mDecoder = decoder;
    }

    /**
     * Sets the action after an endpoint was added, is leaving or was removed.
     *
     * @param onChange runs after the change of the registry
     */
    public void onChange(final Runnable onChange) {
        mOnChange = onChange;
    }

    /**
     * Sets the handler of endpoints that announce to leave or were removed.
     *
     * @param onLeaving receives the endpoint's last entry
     */
    public void onLeaving(final Consumer<EndpointEntry> onLeaving) {
        mOnLeaving = onLeaving;
    }

    /**
     * Sets the action after each read.
     *
     * @param onRead runs after the update of the registry
     */
    public void onRead(final Runnable onRead) {
        mOnRead = onRead;
    }

    /**
     * Returns whether all endpoints were read at least once.
     *
     * @return whether the endpoints are known
     */
    public boolean isLoaded() {
        return mLoaded;
    }

    /**
     * Returns how far the topic was read.
     *
     * @return the offset behind the last record
     */
    public long end() {
        return mEnd;
    }

    /**
     * Returns and clears the changes of the last reads.
     *
     * @return the changes in order, without those of a snapshot
     */
    public List<EndpointChange> drainChanges() {
        final List<EndpointChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /**
     * Applies changes that another daemon has read. They may arrive twice, late or not at all; the
     * reader's digest shows whether any are missing. A removal applies also while the store refuses
     * this daemon, as its reader reaches the store: a daemon that ignored it continued to use
     * endpoints that were gone, and ordered no replacements.
     *
     * @param changes the changes in order
     */
    public void applyPeerChanges(final List<EndpointChange> changes) {
        boolean changed = false;
        for (final EndpointChange change : changes) {
            changed |= change.entry().isPresent() ? apply(change) : removeReadByPeer(change);
        }
        if (changed) {
            discardStaleState();
            mOnChange.run();
        }
    }

    /**
     * Applies what endpoints have said in responses, to this daemon or to others: they leave, also
     * if the store does not say so.
     *
     * @param departures the starts of the endpoints that leave
     */
    public void applyDepartures(final List<EndpointStart> departures) {
        boolean changed = false;
        for (final EndpointStart departure : departures) {
            mState.departures().add(departure, now());
            if (registry().markLeaving(departure)) {
                changed = true;
                LOG.atInfo()
                        .addKeyValue("endpoint", departure.endpoint())
                        .log("endpoint leaves by its own response");
                mState.leaving().remove(departure.endpoint());
                registry().find(departure.endpoint()).ifPresent(mOnLeaving);
            }
        }
        if (changed) {
            mOnChange.run();
        }
    }

    @Override
    public void onOlderCopy(final long end) {
        registry().recordOlderCopy(end, now());
        mState.versions().recordGap();
    }

    @Override
    public void onSnapshot(final List<StoreRecord> records, final long end) {
        final Set<String> listed =
                records.stream()
                        .filter(record -> record.value().isPresent())
                        .map(StoreRecord::key)
                        .collect(Collectors.toCollection(HashSet::new));
        // First, as records of later pages may lie behind the end of the first page.
        registry().retain(listed, end, now());
        records.forEach(this::apply);
        registry().recordExact(end);
        mLoaded = true;
        mEnd = end;
        mChanges.clear();
        discardStaleState();
        mState.versions().recordConfirmed(mState.moment());
        mOnRead.run();
    }

    @Override
    public void onAppended(final List<StoreRecord> records) {
        boolean changed = false;
        for (final StoreRecord record : records) {
            mEnd = Math.max(mEnd, record.offset() + 1);
            changed |= apply(record);
        }
        discardStaleState();
        mState.versions().recordConfirmed(mState.moment());
        mOnRead.run();
        if (changed) {
            mOnChange.run();
        }
    }

    private boolean apply(final StoreRecord record) {
        final Optional<EndpointEntry> entry;
        try {
            entry =
                    record.value().isEmpty()
                            ? Optional.empty()
                            : Optional.of(mDecoder.decode(record.key(), record.value().get()));
        } catch (UnreadableRecordException e) {
            return applyUnreadable(record, e);
        }
        final EndpointChange change = new EndpointChange(record.key(), record.offset(), entry);
        final boolean changed = apply(change);
        final boolean kept = entry.isEmpty() && registry().find(record.key()).isPresent();
        if (changed && !kept) {
            mChanges.add(change);
        }
        return changed;
    }

    private boolean applyUnreadable(
            final StoreRecord record, final UnreadableRecordException cause) {
        final boolean wasUsable = registry().markUnreadable(record.key(), record.offset());
        if (wasUsable || mLoggedUnreadable.add(record.key())) {
            LOG.atWarn()
                    .addKeyValue("endpoint", record.key())
                    .addKeyValue("offset", record.offset())
                    .addKeyValue("wasUsable", wasUsable)
                    .addKeyValue("cause", String.valueOf(cause.getMessage()))
                    .log("endpoint entry not readable, endpoint receives no requests");
        }
        if (mLoggedUnreadable.size() > MAX_LOGGED_UNREADABLE) {
            mLoggedUnreadable.clear();
        }
        return wasUsable;
    }

    private boolean apply(final EndpointChange change) {
        if (change.entry().isEmpty()) {
            return remove(change);
        }
        final EndpointEntry entry = change.entry().get();
        // The same batch may remove it again, and its endpoint has begun streams in between.
        mState.versions().observe(List.of(entry), now());
        final EntryEffect effect = registry().put(entry, change.offset());
        if (effect == EntryEffect.RESTARTED) {
            mState.chooser().forgetEndpoint(entry.id());
            mState.brittle().forget(entry.id());
            mState.requestLimits().forget(entry.id());
            mState.pauses().forget(entry.id());
            mConnections.endpointRestarted(entry.id());
        }
        if (effect.isChange()) {
            LOG.atInfo()
                    .addKeyValue("endpoint", entry.id())
                    .addKeyValue("service", entry.service())
                    .addKeyValue("version", entry.version())
                    .addKeyValue("address", entry.address())
                    .addKeyValue("domain", entry.domain())
                    .addKeyValue("reclaimable", entry.reclaimable())
                    .addKeyValue("leaving", entry.leaving())
                    .addKeyValue("effect", effect)
                    .addKeyValue("offset", change.offset())
                    .log("endpoint changed");
            if (entry.leaving()) {
                if (!mState.departures().contains(EndpointStart.of(entry))) {
                    mState.leaving().addNotice(entry, now());
                }
                mOnLeaving.accept(entry);
            }
        }
        return effect.isChange();
    }

    private boolean remove(final EndpointChange change) {
        final Optional<EndpointEntry> previous = registry().find(change.id());
        return registry().remove(change.id(), change.offset(), now())
                && finishRemoval(change, previous);
    }

    private boolean removeReadByPeer(final EndpointChange change) {
        final Optional<EndpointEntry> previous = registry().find(change.id());
        return registry().removeConfirmed(change.id(), change.offset())
                && finishRemoval(change, previous);
    }

    private boolean finishRemoval(
            final EndpointChange change, final Optional<EndpointEntry> previous) {
        mState.leaving().remove(change.id());
        previous.ifPresent(mOnLeaving);
        LOG.atInfo()
                .addKeyValue("endpoint", change.id())
                .addKeyValue("offset", change.offset())
                .log("endpoint entry removed");
        return true;
    }

    private void discardStaleState() {
        removeLapsedEntries();
        final Set<String> known =
                registry().all().stream().map(EndpointEntry::id).collect(Collectors.toSet());
        mState.chooser().retain(known);
        mState.brittle().retain(known);
        mState.requestLimits().retain(known);
        mState.pauses().retain(known);
        mState.permits().retain(known);
        mConnections.retainEndpoints(known);
        mState.rollouts().observeEndpoints(registry().all(), now());
    }

    /**
     * Removes entries that are still missing after an outage. Must be called regularly: while
     * others read for this daemon, no read of its own does it.
     */
    public void removeLapsedEntries() {
        mState.observeVersions();
        registry()
                .expire(now())
                .forEach(id -> LOG.atInfo().addKeyValue("endpoint", id).log("endpoint lapsed"));
    }

    @Override
    public void onUnreachable(final Throwable cause) {
        registry().recordOutage(now());
    }

    private EndpointRegistry registry() {
        return mState.endpoints();
    }

    private Instant now() {
        return mState.clock().instant();
    }
}
