package org.trefoilledge.configstore;

/** A running watch of the store. */
public interface Watch extends AutoCloseable {
    /** Returns whether the watch still receives events; a watch that ended must be started again. */
    boolean active();

    @Override
    void close();
}
