package org.whinhead.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.generated.GatewayProto.MemberRecord;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.member.Member;

/**
 * Introduces daemons that know no address of each other.
 *
 * <p>The addresses in the settings may all be of daemons that are down. So each daemon writes its
 * own into the store once, and reads those of the others once.
 */
public final class MemberDiscovery {

    private static final Logger LOG = LoggerFactory.getLogger(MemberDiscovery.class);

    private static final int RETRY_MILLIS = 1_000;

    private final EventLoop mLoop;
    private final MetadataStore mStore;
    private final Member mSelf;
    private final Consumer<InetSocketAddress> mOnContact;

    /**
     * Makes an announcement that is not sent yet.
     *
     * @param loop where everything runs
     * @param store where daemons announce themselves
     * @param self this daemon
     * @param contacts takes the addresses of the others
     */
    public MemberDiscovery(
            final EventLoop loop,
            final MetadataStore store,
            final Member self,
            final Consumer<InetSocketAddress> contacts) {
        mLoop = loop;
        mStore = store;
        mSelf = self;
        mOnContact = contacts;
    }

    /** Announces this daemon, and then looks for others; repeats what fails. */
    public void start() {
        final byte[] value =
                MemberRecord.newBuilder()
                        .setPeerAddress(Addresses.format(mSelf.peerAddress()))
                        .build()
                        .toByteArray();
        mStore.append(StoreTopic.MEMBERS, mSelf.name(), value)
                .whenComplete(
                        (end, failure) -> {
                            if (failure == null) {
                                readAnnouncements();
                            } else {
                                mLoop.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                            }
                        });
    }

    private void readAnnouncements() {
        mStore.newest(StoreTopic.MEMBERS)
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                addContacts(page);
                            } else {
                                mLoop.schedule(
                                        this::readAnnouncements,
                                        RETRY_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        });
    }

    private void addContacts(final StorePage page) {
        for (final StoreRecord record : page.records()) {
            if (record.value().isEmpty()) {
                continue;
            }
            try {
                final MemberRecord member = MemberRecord.parseFrom(record.value().get());
                mOnContact.accept(Addresses.parse(member.getPeerAddress()));
            } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                LOG.atWarn()
                        .addKeyValue("daemon", record.key())
                        .addKeyValue("cause", e.getMessage())
                        .log("announcement not understood");
            }
        }
    }
}
