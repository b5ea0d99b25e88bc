package org.whinhead.gateway.store;

import java.util.Optional;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;

/** How operators spell orders of roll-outs, and read what became of them. */
public interface OperatorRolloutCodec {

    /**
     * Reads an order.
     *
     * @param record a record of the operator's
     * @return the order; empty if the record is another one
     * @throws UnreadableRecordException if it is an order that can't be understood
     */
    Optional<RolloutOrder> decodeOrder(StoreRecord record) throws UnreadableRecordException;

    /**
     * Names the record that tells operators of a service's roll-out.
     *
     * @param service the service
     * @return the record's key
     */
    String statusKey(String service);

    /**
     * Spells how far a roll-out is.
     *
     * @param record the roll-out
     * @return the record's value
     */
    byte[] encodeStatus(RolloutRecord record);
}
