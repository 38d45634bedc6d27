package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Journal implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String line) {
        out.printf("%8.3f %s%n", millis() / 1000.0, line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
