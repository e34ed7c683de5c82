package org.trefoilledge.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.trefoilledge.core.ErrorKind;
import org.trefoilledge.core.OrganisationId;
import org.trefoilledge.core.config.KeyDigest;

/** Binds the request to the organisation of its key. The key itself goes no further than this filter. */
final class AuthenticationFilter implements Filter {
    private static final String SCHEME = "Bearer ";

    private final Supplier<Snapshot> snapshots;
    private final BooleanSupplier isolated;

    AuthenticationFilter(Supplier<Snapshot> snapshots, BooleanSupplier isolated) {
        this.snapshots = snapshots;
        this.isolated = isolated;
    }

    @Override
    public CompletableFuture<Answer> apply(Exchange exchange, Next next) {
        if (exchange.parent().isPresent()) {
            exchange.organisation(exchange.parent().get().organisation());
            exchange.key(exchange.parent().get().key());
            return next.proceed(exchange);
        }
        if (exchange.route().open()) {
            return next.proceed(exchange);
        }
        List<String> values = exchange.values("Authorization");
        if (values.isEmpty()) {
            return refuse(ErrorKind.KEY_MISSING, "no Authorization header");
        }
        if (values.size() > 1) {
            return refuse(ErrorKind.BAD_REQUEST, "more than one Authorization header");
        }
        Optional<KeyDigest> digest = digest(values.get(0));
        if (digest.isEmpty()) {
            return refuse(ErrorKind.KEY_MISSING, "the Authorization header must be Bearer and a key");
        }
        return bind(exchange, digest.get(), next);
    }

    private CompletableFuture<Answer> bind(Exchange exchange, KeyDigest digest, Next next) {
        Optional<OrganisationId> organisation = exchange.snapshot().organisation(digest);
        if (organisation.isEmpty()) {
            return refuse(ErrorKind.KEY_UNKNOWN, "key " + digest.abbreviated());
        }
        if (isolated.getAsBoolean()) {
            return CompletableFuture.completedFuture(Answer.refused(
                    ErrorKind.KEY_UNVERIFIABLE, 1_000, "neither the store nor most zones were heard in time"));
        }
        exchange.organisation(organisation.get());
        exchange.key(digest);
        return next.proceed(exchange);
    }

    /** Returns whether the key of a request that waited is still granted to its organisation. */
    boolean stillGranted(Exchange exchange) {
        return exchange.key().isEmpty()
                || snapshots
                        .get()
                        .organisation(exchange.key().get())
                        .filter(exchange.organisation()::equals)
                        .isPresent();
    }

    private static Optional<KeyDigest> digest(String value) {
        if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = value.substring(SCHEME.length()).trim();
        return key.isEmpty() ? Optional.empty() : Optional.of(KeyDigest.of(key));
    }

    private static CompletableFuture<Answer> refuse(ErrorKind kind, String reason) {
        return CompletableFuture.completedFuture(Answer.refused(kind, reason));
    }
}
