package org.whinhead.state.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinhead.state.FakeLog;
import org.whinhead.state.StreamPort;

/** Three daemons on one fleet stream and one checkpoint stream, checked against the oracle. */
final class FoldFleet {

    private static final int SIZE = 3;

    private final FakeLog mFleet = new FakeLog();
    private final FakeLog mCheckpoints = new FakeLog();
    private final List<Member> mMembers = new ArrayList<>();
    private int mIncarnations;
    private int mChanges;

    FoldFleet() {
        for (int index = 0; index < SIZE; index++) {
            mMembers.add(newMember(index));
        }
    }

    private Member newMember(final int index) {
        return new Member(mFleet, mCheckpoints, mIncarnations++, index - 1);
    }

    Member member(final int choice) {
        return mMembers.get(choice % SIZE);
    }

    void change(final int choice) {
        final String author = choice < 9 ? "a" : "b";
        final String path = choice % 2 == 0 ? "/a/x" : "/a/y";
        final int number = choice == 4 ? mChanges : ++mChanges;
        final String text = choice == 7 ? "bad" : "text " + mChanges;
        member(choice).change("change-" + number, path, author, text);
    }

    void write(final int index, final StreamPort.Fate fate) {
        member(index).write(fate);
    }

    void checkpoints(final int index, final StreamPort.Fate fate) {
        member(index).checkpoints(fate);
    }

    void restart(final int choice, final boolean fromPeer) {
        final Member fresh = newMember(choice % SIZE);
        mMembers.set(choice % SIZE, fresh);
        final FoldView peer = member(choice + 1).fold().view();
        if (fromPeer && peer.source() != FoldView.Source.NONE) {
            fresh.install(peer.state(), FoldView.Source.PEER);
        }
    }

    void land(final int choice) {
        (choice % 2 == 0 ? mFleet : mCheckpoints).landDelayed(choice);
    }

    void outage(final int choice) {
        mFleet.down(choice < 4);
        mCheckpoints.down(choice < 4);
    }

    void expire(final int choice) {
        mFleet.expireTo(mFleet.all().size() * (long) choice / 11);
    }

    void pass(final Duration time) {
        mFleet.pass(time);
    }

    void checkSettings() {
        for (final Member member : mMembers) {
            final Map<String, Long> revisions = new TreeMap<>();
            final FoldState state = member.fold().view().state();
            for (final String path : state.settings().history().keySet()) {
                revisions.put(path, state.settings().revision(path));
            }
            assertThat(revisions).isEqualTo(Oracle.revisions(mFleet.all(), state.asOf()));
            member.lastRevisions()
                    .forEach(
                            (path, last) ->
                                    assertThat(revisions.get(path)).isGreaterThanOrEqualTo(last));
            member.lastRevisions().putAll(revisions);
        }
    }

    void checkLease() {
        assertThat(mMembers.stream().filter(Member::mayAct).count()).isLessThanOrEqualTo(1);
    }

    /** Ends all faults; whoever can reach the records must come to the same state as the others. */
    void settleAndCheck() {
        outage(SIZE * SIZE);
        work();
        mFleet.landAll();
        mCheckpoints.landAll();
        work();
        mMembers.forEach(Member::read);
        final long furthest =
                mMembers.stream().mapToLong(member -> member.fold().position()).max().orElse(0);
        if (furthest < mFleet.oldest()) {
            return;
        }
        final FoldState first = member(0).fold().view().state();
        assertThat(first.asOf()).isEqualTo(mFleet.all().size());
        mMembers.forEach(member -> assertThat(member.fold().view().state()).isEqualTo(first));
        assertThat(mMembers).anyMatch(Member::mayAct);
    }

    private void work() {
        for (int round = 0; round < 80; round++) {
            pass(Duration.ofMillis(250));
            for (final Member member : mMembers) {
                member.write(StreamPort.Fate.DONE);
                member.read();
                member.read();
                member.publish();
                member.checkpoints(StreamPort.Fate.DONE);
            }
            checkSettings();
            checkLease();
        }
    }
}
