package org.whinhead.daemon.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.requests.RequestCoordinator;

/** Checks that the loop passes events to the coordinator until it stops deciding. */
class DecisionLoopTest {

    private static final int SLOTS = 8;

    private final List<String> mCalledMethods = new CopyOnWriteArrayList<>();
    private final DecisionLoop mLoop =
            new DecisionLoop("loop", SLOTS, new LiveRequests(), InstantSource.system());

    private RequestCoordinator coordinator() {
        return (RequestCoordinator)
                Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {RequestCoordinator.class},
                        (proxy, method, arguments) -> {
                            mCalledMethods.add(method.getName());
                            return null;
                        });
    }

    @Test
    void eventsReachTheCoordinator() {
        mLoop.start(coordinator());
        mLoop.offer(new DecisionEvent.Tick());
        mLoop.close();

        assertThat(mCalledMethods).containsExactly("tick");
    }

    /**
     * An exiting daemon closes its connections and must not treat this as callers disconnecting.
     */
    @Test
    void eventsAfterStopDecidingAreDropped() {
        mLoop.start(coordinator());
        mLoop.stopDeciding();

        assertThat(mLoop.offer(new DecisionEvent.Tick())).isTrue();
        mLoop.close();
        assertThat(mCalledMethods).isEmpty();
    }
}
