package org.trefoilledge.operator;

import java.util.Optional;
import org.trefoilledge.configstore.Store;
import org.trefoilledge.configstore.StoreException;
import org.trefoilledge.configstore.StoreUnavailableException;
import org.trefoilledge.configstore.StoredValue;

/**
 * A compare-and-swap that finds out its outcome. When an answer is lost the key is read; if it still has the expected
 * value, the same write is sent again. The store takes it only on top of that value, so this cannot write twice, and
 * no delayed copy of it can come later.
 */
final class CertainWrite {
    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long LONGEST_PAUSE_MILLIS = 1_000;

    private final Store store;
    private final Environment environment;
    private final long timeoutMillis;
    private boolean mayHaveTakenEffect;

    /** What is known about the write. */
    enum Result {
        /** The value was written. */
        WRITTEN,
        /** The key has another value than the expected one and than the value to write. */
        LOST,
        /** The value may have been written, or may still be. */
        NOT_KNOWN
    }

    CertainWrite(Store store, Environment environment, long timeoutMillis) {
        this.store = store;
        this.environment = environment;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Writes a value if the key still has the expected revision, 0 if it must be absent.
     *
     * @throws StoreUnavailableException if the value was certainly not written, and never will be
     */
    Result write(String key, long expectedModRevision, String value)
            throws StoreUnavailableException, InterruptedException {
        long end = environment.clock().millis() + timeoutMillis;
        long pause = FIRST_PAUSE_MILLIS;
        while (true) {
            Result result = attempt(key, expectedModRevision, value);
            if (result != Result.NOT_KNOWN || environment.clock().millis() + pause > end) {
                return result;
            }
            environment.pause().pause(pause);
            pause = Math.min(2 * pause, LONGEST_PAUSE_MILLIS);
        }
    }

    /** Returns whether an answer was lost, so that a value which is gone now may have been there for a time. */
    boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }

    private Result attempt(String key, long expectedModRevision, String value) throws StoreUnavailableException {
        try {
            if (store.swap(key, expectedModRevision, value).isPresent()) {
                return Result.WRITTEN;
            }
        } catch (StoreUnavailableException e) {
            if (!mayHaveTakenEffect) {
                throw e;
            }
        } catch (StoreException | RuntimeException e) {
            mayHaveTakenEffect = true;
        }
        return compare(key, expectedModRevision, value);
    }

    /** Reads which value the key has after an attempt that failed, or whose answer was lost. */
    private Result compare(String key, long expectedModRevision, String value) {
        try {
            Optional<StoredValue> now = store.read(key);
            if (now.map(StoredValue::value).equals(Optional.of(value))) {
                return Result.WRITTEN;
            }
            long modRevision = now.map(StoredValue::modRevision).orElse(0L);
            return modRevision == expectedModRevision ? Result.NOT_KNOWN : Result.LOST;
        } catch (StoreException e) {
            mayHaveTakenEffect = true;
            return Result.NOT_KNOWN;
        }
    }
}
