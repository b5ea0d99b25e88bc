import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start of the case. */
final class CaseRecord {

    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    CaseRecord(final Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(final String line) {
        mOut.printf("%8.3f %s%n", (System.nanoTime() - mStart) / 1e9, line);
    }

    synchronized void close() {
        mOut.close();
    }
}
