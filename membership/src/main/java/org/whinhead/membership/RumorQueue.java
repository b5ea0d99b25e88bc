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

    private static final int MOST_AT_ONCE = 24;

    private final Map<VmId, Rumor> mWaiting = new LinkedHashMap<>();

    void add(final Rumor rumor) {
        mWaiting.remove(rumor.vm());
        mWaiting.put(rumor.vm(), rumor);
    }

    List<Rumor> takeSome() {
        final List<Rumor> taken = new ArrayList<>();
        final Iterator<Rumor> waiting = mWaiting.values().iterator();
        while (waiting.hasNext() && taken.size() < MOST_AT_ONCE) {
            taken.add(waiting.next());
            waiting.remove();
        }
        return taken;
    }
}
