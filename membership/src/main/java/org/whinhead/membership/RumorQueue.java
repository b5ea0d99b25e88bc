package org.whinhead.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.api.model.VmId;

/**
 * Rumors to pass on, one for each VM.
 *
 * <p>Guards against a storm when a partition heals: each daemon of one side clears its name with
 * all of the other at the same time. A newer rumor takes an older one's place, and only so many
 * leave at once.
 */
final class RumorQueue {

    private static final int MAX_RUMORS_PER_BATCH = 24;

    private final Map<VmId, Rumor> mPending = new LinkedHashMap<>();

    void add(final Rumor rumor) {
        mPending.remove(rumor.vm());
        mPending.put(rumor.vm(), rumor);
    }

    List<Rumor> pollBatch() {
        final List<Rumor> taken = new ArrayList<>();
        final Iterator<Rumor> waiting = mPending.values().iterator();
        while (waiting.hasNext() && taken.size() < MAX_RUMORS_PER_BATCH) {
            taken.add(waiting.next());
            waiting.remove();
        }
        return taken;
    }
}
