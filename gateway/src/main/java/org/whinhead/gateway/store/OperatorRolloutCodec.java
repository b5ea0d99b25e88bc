package org.whinhead.gateway.store;

import java.util.Optional;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;

/** Decodes the rollout orders of operators and encodes the status that operators read. */
public interface OperatorRolloutCodec {

    /**
     * Decodes an order.
     *
     * @param record a record that an operator has written
     * @return the order; empty if the record is not an order
     * @throws UnreadableRecordException if the record is an order that is not readable
     */
    Optional<RolloutOrder> decodeOrder(StoreRecord record) throws UnreadableRecordException;

    /**
     * Returns the key of the status record of a service's rollout.
     *
     * @param service the service
     * @return the key
     */
    String statusKey(String service);

    /**
     * Encodes the status of a rollout.
     *
     * @param record the rollout
     * @return the value of the status record
     */
    byte[] encodeStatus(RolloutRecord record);
}
