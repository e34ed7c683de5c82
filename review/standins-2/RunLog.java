import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each event, with the milliseconds since the start. */
final class RunLog implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    RunLog(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(millis() + " " + text);
    }

    /** Writes a line to the record and to the console. */
    void say(String text) {
        line(text);
        System.out.println(millis() + " " + text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
