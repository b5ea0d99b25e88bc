package org.whinhead.daemon.peers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.daemon.operator.RevisionQuery;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.peer.PeerTransport;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.peer.generated.PeerProto.SettingsQuery;
import org.whinhead.peer.generated.PeerProto.SettingsReply;

/** Queries the positions of the other daemons in the log, and answers their queries. */
final class PeerPositionQuery implements RevisionQuery {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Envelope QUERY =
            Envelope.newBuilder().setSettingsQuery(SettingsQuery.getDefaultInstance()).build();

    private final PeerTransport mTransport;
    private final VmId mSelf;
    private final Supplier<MembershipView> mView;
    private final LongSupplier mPosition;

    PeerPositionQuery(
            final PeerTransport transport,
            final VmId self,
            final Supplier<MembershipView> view,
            final LongSupplier position) {
        mTransport = transport;
        mSelf = self;
        mView = view;
        mPosition = position;
    }

    /** Returns the reply to a peer's query: this daemon's position in the log. */
    Envelope answer() {
        return Envelope.newBuilder()
                .setSettingsReply(SettingsReply.newBuilder().setPosition(mPosition.getAsLong()))
                .build();
    }

    @Override
    public CompletionStage<Report> query(final long revision) {
        final List<DaemonMember> queried =
                mView.get().daemons().stream()
                        .filter(member -> !member.id().equals(mSelf))
                        .filter(PeerPositionQuery::isExpectedToServe)
                        .sorted(Comparator.comparing(DaemonMember::id))
                        .toList();
        final List<CompletableFuture<Boolean>> replies =
                queried.stream().map(member -> hasFolded(member, revision)).toList();
        return CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> report(queried, replies));
    }

    /** Leaving daemons need not follow the log any more; suspected ones may still serve. */
    private static boolean isExpectedToServe(final DaemonMember member) {
        final VmState state = member.vm().state();
        return state == VmState.LIVE || state == VmState.SUSPECT;
    }

    private CompletableFuture<Boolean> hasFolded(final DaemonMember member, final long revision) {
        return mTransport
                .request(member.address(), QUERY, TIMEOUT)
                .handle(
                        (reply, fault) ->
                                fault == null
                                        && reply.hasSettingsReply()
                                        && reply.getSettingsReply().getPosition() > revision);
    }

    private static Report report(
            final List<DaemonMember> queried, final List<CompletableFuture<Boolean>> replies) {
        final List<String> inForce = new ArrayList<>();
        final List<String> missing = new ArrayList<>();
        for (int i = 0; i < queried.size(); i++) {
            (replies.get(i).join() ? inForce : missing).add(queried.get(i).id().value());
        }
        return new Report(inForce, missing);
    }
}
