package org.whinhead.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.UsageDecision;

class LeaseRecordCodecTest {

    private static final LeaseRecord LEASE =
            new LeaseRecord(
                    "daemon-1",
                    7,
                    3,
                    List.of(new UsageDecision(12, Map.of("clinic", 5L, "court", 0L), true)));

    @Test
    void decodedLeaseIsTheEncodedOne() throws InvalidProtocolBufferException {
        assertThat(LeaseRecordCodec.decode(LeaseRecordCodec.encode(LEASE))).isEqualTo(LEASE);
    }

    // Guards against a usage window that is reported twice with different counts after an update:
    // earlier daemons wrote the counts as a map field.
    @Test
    void countsWrittenAsMapAreRead() throws IOException {
        final byte[] entry =
                message(
                        out -> {
                            out.writeString(1, "clinic");
                            out.writeInt64(2, 5);
                        });
        final byte[] decision =
                message(
                        out -> {
                            out.writeInt64(1, 12);
                            out.writeBool(2, true);
                            out.writeByteArray(3, entry);
                        });
        final byte[] record =
                message(
                        out -> {
                            out.writeString(1, "daemon-1");
                            out.writeInt64(2, 7);
                            out.writeInt64(3, 3);
                            out.writeByteArray(4, decision);
                        });
        assertThat(LeaseRecordCodec.decode(record).decisions())
                .containsExactly(new UsageDecision(12, Map.of("clinic", 5L), true));
    }

    private interface Content {
        void writeTo(CodedOutputStream out) throws IOException;
    }

    private static byte[] message(final Content content) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        content.writeTo(out);
        out.flush();
        return bytes.toByteArray();
    }
}
