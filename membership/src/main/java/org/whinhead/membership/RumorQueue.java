package org.whinhead.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.api.model.VmId;

/**
 * A queue of rumors to send, at most one for each VM.
 *
 * <p>When a partition heals, each daemon on one side ends the suspicions of all daemons on the
 * other at the same time. To avoid a burst of messages, a newer rumor replaces an older one about
 * the same VM, and the size of a batch is limited.
 */
final class RumorQueue {

    private static final int MAX_RUMORS_PER_BATCH = 24;

    private final Map<VmId, Rumor> mPending = new LinkedHashMap<>();

    void add(final Rumor rumor) {
        mPending.remove(rumor.vm());
        mPending.put(rumor.vm(), rumor);
    }

    List<Rumor> pollBatch() {
        final List<Rumor> batch = new ArrayList<>();
        final Iterator<Rumor> pending = mPending.values().iterator();
        while (pending.hasNext() && batch.size() < MAX_RUMORS_PER_BATCH) {
            batch.add(pending.next());
            pending.remove();
        }
        return batch;
    }
}
