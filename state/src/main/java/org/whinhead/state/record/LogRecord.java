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

/** A record of a stream of the log. */
public sealed interface LogRecord {

    /** The revision or lease offset that means that no earlier one exists. */
    long NONE = -1;

    /** Returns the record's identity. */
    RecordId id();

    /**
     * An operator's request to change a setting. The fold decides whether the change takes effect.
     *
     * @param id the record's identity
     * @param changeId the operator's identifier of the change, the same in each retry
     * @param path the path of the document
     * @param baseRevision the revision that the change is based on, or {@link #NONE}
     * @param document the new document as JSON text, or empty to delete it
     * @param author the operator's name
     * @param reason the reason for the change, for auditors
     * @param at the time of the operator's request
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
     * The activation of a version of the rules that later documents are checked by.
     *
     * @param id the record's identity
     * @param version the rules version, at least 1; ignored unless it is higher than the version in
     *     force
     */
    record RulesActivated(RecordId id, int version) implements LogRecord {
        /** Checks both parts. */
        public RulesActivated {
            Objects.requireNonNull(id, "id");
            Arguments.requireAtLeast(version, 1, "version");
        }
    }

    /**
     * A daemon's claim of a duty. The claim takes effect only if it names the newest lease record
     * of the duty.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param holder the claiming daemon
     * @param duration the time that the lease lasts without a renewal
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
     * A renewal of a lease by its holder.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param holder the daemon that holds the lease
     * @param duration the time that the lease lasts after this record
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
     * The release of a lease by its holder, so that other daemons need not wait for the end of the
     * lease.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param holder the daemon that held the lease
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
     * The announcement that a VM will leave.
     *
     * @param id the record's identity
     * @param vm the VM
     * @param goneBy the latest time at which the VM will be gone
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
     * A grant of a portion of a customer's budget to a daemon, by the holder of the budget duty.
     *
     * @param id the record's identity
     * @param customer the customer
     * @param daemon the daemon that may spend the portion
     * @param tokens the number of tokens, at least 0
     * @param fencing the fencing number of the grantor's lease
     * @param until the time at which an unspent portion expires
     */
    record BudgetGrant(
            RecordId id,
            CustomerId customer,
            DaemonId daemon,
            long tokens,
            long fencing,
            Instant until)
            implements LogRecord {

        /** The duty whose holder grants portions; a grant under an older lease has no effect. */
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
     * A note by the holder of a duty for itself and its successors, for example an open order. The
     * note has no effect if another daemon claimed the duty before it in the log.
     *
     * @param id the record's identity
     * @param duty the duty
     * @param fencing the fencing number of the author's lease
     * @param name the name of the note, unique within the duty
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
     * A part of a checkpoint. A checkpoint is used only after all of its parts were read.
     *
     * @param id the record's identity
     * @param checkpointId the identifier of the checkpoint
     * @param asOf the first offset that the checkpoint does not cover
     * @param part the part's index, from 0
     * @param parts the number of parts
     * @param digest the SHA-256 hash of all parts concatenated, in hex
     * @param data the part's bytes, in base64
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
     * A batch of claims and withdrawals, in order.
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
     * A record of a kind that this program version does not know.
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
