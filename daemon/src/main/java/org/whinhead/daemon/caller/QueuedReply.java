package org.whinhead.daemon.caller;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.daemon.request.CallerReply;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;
import org.xnio.XnioIoThread;

/** Passes the parts of an answer to the caller's IO thread, in batches if they arrive fast. */
final class QueuedReply implements CallerReply {

    private final Queue<ReplyPart> mParts = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mScheduled = new AtomicBoolean();
    private final XnioIoThread mThread;
    private final AnswerFormat mFormat;
    private final ExchangeWriter mWriter;

    QueuedReply(final XnioIoThread thread, final AnswerFormat format, final ExchangeWriter writer) {
        mThread = thread;
        mFormat = format;
        mWriter = writer;
    }

    @Override
    public void sendToken(final long index, final String text) {
        enqueue(new ReplyPart.Token(index, text));
    }

    @Override
    public void sendTicket(final String ticket) {
        enqueue(new ReplyPart.NewTicket(ticket));
    }

    @Override
    public void complete(final Completion completion) {
        enqueue(new ReplyPart.Completed(completion));
    }

    @Override
    public void sendAnswer(final PlainAnswer answer) {
        enqueue(new ReplyPart.Answered(answer));
    }

    @Override
    public void refuse(final Refusal refusal) {
        enqueue(new ReplyPart.Refused(refusal));
    }

    @Override
    public void handBack(final String ticket, final Refusal refusal) {
        enqueue(new ReplyPart.HandedBack(ticket, refusal));
    }

    @Override
    public void supersede() {
        mThread.execute(mWriter::abort);
    }

    private void enqueue(final ReplyPart part) {
        mParts.add(part);
        if (mScheduled.compareAndSet(false, true)) {
            mThread.execute(this::drain);
        }
    }

    private void drain() {
        // Cleared before the queue is read: a part that is added later schedules another drain.
        mScheduled.set(false);
        ReplyPart part = mParts.poll();
        while (part != null) {
            if (!mWriter.isClosed()) {
                mFormat.write(part, mWriter);
            }
            part = mParts.poll();
        }
        if (!mWriter.isClosed()) {
            mFormat.flushBatch(mWriter);
        }
    }
}
