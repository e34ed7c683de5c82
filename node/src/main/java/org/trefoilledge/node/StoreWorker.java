package org.trefoilledge.node;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.StoreUnavailableException;
import org.trefoilledge.core.config.ConfigException;

/** Runs blocking calls of the store on threads of their own and hands the results to the control thread. */
final class StoreWorker implements AutoCloseable {
    private static final int THREADS = 3;

    private final Store store;
    private final Executor control;
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, work -> {
        Thread thread = new Thread(work, "store");
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean cut;

    StoreWorker(Store store, Executor control) {
        this.store = store;
        this.control = control;
    }

    /** A call of the store. */
    @FunctionalInterface
    interface Call<T> {
        T run(Store store) throws StoreException, ConfigException;
    }

    /** Simulates a network partition between this node and the store. */
    void cut(boolean unreachable) {
        cut = unreachable;
    }

    <T> void run(Call<T> call, Consumer<T> done, Consumer<Exception> failed) {
        try {
            threads.execute(() -> runNow(call, done, failed));
        } catch (RejectedExecutionException e) {
            failed.accept(new StoreUnavailableException("the node is stopping", e));
        }
    }

    private <T> void runNow(Call<T> call, Consumer<T> done, Consumer<Exception> failed) {
        try {
            if (cut) {
                throw new StoreUnavailableException("the store is cut off by an injected fault");
            }
            T result = call.run(store);
            control.execute(() -> done.accept(result));
        } catch (StoreException | ConfigException e) {
            control.execute(() -> failed.accept(e));
        }
    }

    @Override
    public void close() {
        threads.shutdownNow();
        store.close();
    }
}
