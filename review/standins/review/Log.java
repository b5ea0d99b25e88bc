package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt. */
public final class Log implements AutoCloseable {
    private final PrintWriter mWriter;
    private final long mStart = System.nanoTime();

    public Log(final Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file));
    }

    public long millis() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    public synchronized void line(final String text) {
        mWriter.println(String.format("%7d ms  %s", millis(), text));
        mWriter.flush();
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
