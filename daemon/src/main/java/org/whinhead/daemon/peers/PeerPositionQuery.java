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

/** Asks the other daemons how far they have folded the log, and answers their questions. */
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

    /** Answers a peer's question. */
    Envelope answer() {
        return Envelope.newBuilder()
                .setSettingsReply(SettingsReply.newBuilder().setPosition(mPosition.getAsLong()))
                .build();
    }

    @Override
    public CompletionStage<Report> query(final long revision) {
        final List<DaemonMember> asked =
                mView.get().daemons().stream()
                        .filter(member -> !member.id().equals(mSelf))
                        .filter(PeerPositionQuery::isExpectedToServe)
                        .sorted(Comparator.comparing(DaemonMember::id))
                        .toList();
        final List<CompletableFuture<Boolean>> answers =
                asked.stream().map(member -> hasFolded(member, revision)).toList();
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(all -> report(asked, answers));
    }

    /** Those that leave need not follow any more; those that are silent may still serve. */
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
            final List<DaemonMember> asked, final List<CompletableFuture<Boolean>> answers) {
        final List<String> inForce = new ArrayList<>();
        final List<String> missing = new ArrayList<>();
        for (int i = 0; i < asked.size(); i++) {
            (answers.get(i).join() ? inForce : missing).add(asked.get(i).id().value());
        }
        return new Report(inForce, missing);
    }
}
