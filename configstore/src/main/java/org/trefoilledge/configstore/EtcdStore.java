package org.trefoilledge.configstore;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of a store that speaks the etcd v3 JSON gateway. Each call has a time limit. Reads fail over to the next
 * endpoint after any failure, writes only while it is certain that they had no effect.
 */
public final class EtcdStore implements Store {
    private final EtcdTransport transport;

    /** Creates a client; nothing is sent before the first call. */
    public EtcdStore(EtcdSettings settings) {
        transport = new EtcdTransport(settings);
    }

    @Override
    public Optional<StoredValue> read(String key) throws StoreException {
        return EtcdJson.values(transport.read("/v3/kv/range", EtcdJson.rangeOfOne(key))).stream()
                .findFirst();
    }

    @Override
    public List<StoredValue> range(String firstKey, String endKey, int limit) throws StoreException {
        if (limit < 1) {
            throw new IllegalArgumentException("limit must be at least 1, but was: " + limit);
        }
        return EtcdJson.values(transport.read("/v3/kv/range", EtcdJson.range(firstKey, endKey, limit)));
    }

    @Override
    public Optional<StoredValue> swap(String key, long expectedModRevision, String value) throws StoreException {
        JsonNode answer = transport.write("/v3/kv/txn", EtcdJson.swap(key, expectedModRevision, value));
        long revision = answer.path("header").path("revision").asLong();
        if (revision == 0) {
            throw new StoreOutcomeUnknownException("the store's response to a write of " + key + " has no revision");
        }
        if (!answer.path("succeeded").asBoolean()) {
            return Optional.empty();
        }
        return Optional.of(new StoredValue(key, value, revision));
    }

    /**
     * Starts a watch and waits until the store has confirmed it. The listener is called on a thread of the HTTP client
     * and must not block. A watch without events for a minute ends, because a silent connection may be dead; see
     * {@link Watch#active()}.
     */
    @Override
    public Watch watch(String prefix, Consumer<StoredValue> listener) throws StoreException {
        return EtcdWatch.start(transport, prefix, listener);
    }

    @Override
    public void close() {
        transport.close();
    }
}
