/** Creates the threads of the stand-ins, which end with the process. */
final class Daemon {
    private static final long STACK_BYTES = 128 * 1024;

    private Daemon() {}

    static Thread thread(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable work) {
        thread(work).start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
