package org.whinhead.state.record;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;

/** One record of a stream of the log. */
public sealed interface LogRecord {

    /** The revision, or lease offset, that stands for "nothing was there before". */
    long NONE = -1;

    /** Returns the record's identity. */
    RecordId id();

    /**
     * An operator asks for a setting to change; the fold decides whether it takes effect.
     *
     * @param id the record's identity
     * @param changeId the operator's name for the change, the same in each try
     * @param path the path of the document
     * @param baseRevision the revision that the operator saw there, or {@link #NONE}
     * @param document the new document as JSON text, or empty to delete it
     * @param author the operator's name
     * @param reason why, for the auditor
     * @param at when the operator asked
     */
    record SettingChanged(
            RecordId id,
            String changeId,
            String path,
            long baseRevision,
            Optional<String> document,
            String author,
            String reason,
            Instant at)
            implements LogRecord {
        /** Checks every part. */
        public SettingChanged {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(changeId, "changeId");
            Arguments.requireText(path, "path");
            Arguments.requireAtLeast(baseRevision, NONE, "baseRevision");
            Objects.requireNonNull(document, "document");
            Arguments.requireText(author, "author");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(at, "at");
        }
    }

    /**
     * From here on documents are checked by another version of the rules.
     *
     * @param id the record's identity
     * @param version the version, higher than all before
     */
    record RulesActivated(RecordId id, int version) implements LogRecord {
        /** Checks both parts. */
        public RulesActivated {
            Objects.requireNonNull(id, "id");
            Arguments.requireAtLeast(version, 1, "version");
        }
    }

    /**
     * A daemon claims a duty; it takes effect only if it names the lease record that it replaces.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param holder who claims it
     * @param duration how long the lease lasts without a renewal
     * @param seenOffset the offset of the duty's newest lease record, or {@link #NONE}
     */
    record LeaseTaken(RecordId id, String duty, DaemonId holder, Duration duration, long seenOffset)
            implements LogRecord {
        /** Checks every part. */
        public LeaseTaken {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(duty, "duty");
            Objects.requireNonNull(holder, "holder");
            Arguments.requirePositive(duration, "duration");
            Arguments.requireAtLeast(seenOffset, NONE, "seenOffset");
        }
    }

    /**
     * The holder of a duty prolongs its lease.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param holder who holds it
     * @param duration how long the lease lasts from now on
     * @param seenOffset the offset of the record that the lease was taken with
     */
    record LeaseRenewed(
            RecordId id, String duty, DaemonId holder, Duration duration, long seenOffset)
            implements LogRecord {
        /** Checks every part. */
        public LeaseRenewed {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(duty, "duty");
            Objects.requireNonNull(holder, "holder");
            Arguments.requirePositive(duration, "duration");
            Arguments.requireAtLeast(seenOffset, 0, "seenOffset");
        }
    }

    /**
     * The holder of a duty gives it up, so that others need not wait for the end of the lease.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param holder who held it
     * @param seenOffset the offset of the record that the lease was taken with
     */
    record LeaseReleased(RecordId id, String duty, DaemonId holder, long seenOffset)
            implements LogRecord {
        /** Checks every part. */
        public LeaseReleased {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(duty, "duty");
            Objects.requireNonNull(holder, "holder");
            Arguments.requireAtLeast(seenOffset, 0, "seenOffset");
        }
    }

    /**
     * A VM was announced to leave.
     *
     * @param id the record's identity
     * @param vm the VM
     * @param goneBy when it will be gone at the latest
     */
    record VmLeaving(RecordId id, VmId vm, Instant goneBy) implements LogRecord {
        /** Checks every part. */
        public VmLeaving {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(vm, "vm");
            Objects.requireNonNull(goneBy, "goneBy");
        }
    }

    /**
     * The holder of the budget duty gives a daemon a portion of a customer's budget.
     *
     * @param id the record's identity
     * @param customer whose budget
     * @param daemon who may spend it
     * @param tokens how many tokens
     * @param fencing the offset of the lease that the grant was made under
     * @param until when an unspent portion ends
     */
    record BudgetGrant(
            RecordId id,
            CustomerId customer,
            DaemonId daemon,
            long tokens,
            long fencing,
            Instant until)
            implements LogRecord {

        /** The duty whose holder grants; a grant under an older lease has no effect. */
        public static final String DUTY = "budget";

        /** Checks every part. */
        public BudgetGrant {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(customer, "customer");
            Objects.requireNonNull(daemon, "daemon");
            Arguments.requireAtLeast(tokens, 0, "tokens");
            Arguments.requireAtLeast(fencing, 0, "fencing");
            Objects.requireNonNull(until, "until");
        }
    }

    /**
     * The holder of a duty notes something for itself and its successors, for example an open
     * order; it has no effect if the duty was taken over before it in the log.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param fencing the offset of the lease that the note was made under
     * @param name names the note within the duty
     * @param body the note as JSON text, or empty to remove it
     */
    record DutyNoted(RecordId id, String duty, long fencing, String name, Optional<String> body)
            implements LogRecord {
        /** Checks every part. */
        public DutyNoted {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(duty, "duty");
            Arguments.requireAtLeast(fencing, 0, "fencing");
            Arguments.requireText(name, "name");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * One part of a checkpoint; a checkpoint counts only when all its parts were read.
     *
     * @param id the record's identity
     * @param checkpointId names the checkpoint that the part belongs to
     * @param asOf the first offset that the checkpoint does not cover
     * @param part the part's index, from 0
     * @param parts how many parts there are
     * @param digest SHA-256 of all parts together, in hex
     * @param data the part's bytes in base64
     */
    record Checkpoint(
            RecordId id,
            String checkpointId,
            long asOf,
            int part,
            int parts,
            String digest,
            String data)
            implements LogRecord {
        /** Checks every part. */
        public Checkpoint {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(checkpointId, "checkpointId");
            Arguments.requireAtLeast(asOf, 0, "asOf");
            Arguments.requireAtLeast(part, 0, "part");
            Arguments.requireAtLeast(parts, part + 1L, "parts");
            Arguments.requireText(digest, "digest");
            Objects.requireNonNull(data, "data");
        }
    }

    /**
     * Claims and withdrawals of claims, in order.
     *
     * @param id the record's identity
     * @param entries the claims and withdrawals
     */
    record ClaimBatch(RecordId id, List<ClaimEntry> entries) implements LogRecord {
        /** Checks both parts and copies the list. */
        public ClaimBatch {
            Objects.requireNonNull(id, "id");
            entries = List.copyOf(entries);
        }
    }

    /**
     * A record of a kind that this version of the program does not know.
     *
     * @param id the record's identity
     * @param kind the kind's name
     * @param body the record's other fields as JSON text
     */
    record Unknown(RecordId id, String kind, String body) implements LogRecord {
        /** Checks every part. */
        public Unknown {
            Objects.requireNonNull(id, "id");
            Arguments.requireText(kind, "kind");
            Objects.requireNonNull(body, "body");
        }
    }
}
