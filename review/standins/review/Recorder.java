package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start in milliseconds. */
final class Recorder {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000L;
    }

    synchronized void write(String text) {
        out.printf("%7d  %s%n", millis(), text);
    }
}
