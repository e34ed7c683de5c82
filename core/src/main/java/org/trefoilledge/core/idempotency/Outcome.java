package org.trefoilledge.core.idempotency;

import java.util.List;

/** The outcome of a dispatched request. Only an {@link Kind#ANSWERED} outcome carries headers and a body. */
public final class Outcome {
    private static final int HEADER_OVERHEAD_BYTES = 64;
    private static final byte[] NO_BODY = {};
    private static final Outcome UNKNOWN = new Outcome(Kind.UNKNOWN, 0, List.of(), NO_BODY);

    private final Kind kind;
    private final int status;
    private final List<Header> headers;
    private final byte[] body;

    /** How much of the response is known. */
    public enum Kind {
        /** The complete response is kept. */
        ANSWERED,
        /** The request ran, but its response was too large to keep. */
        NOT_KEPT,
        /** It is not known whether the request ran. */
        UNKNOWN
    }

    /** One header line of a response. */
    public record Header(String name, String value) {}

    private Outcome(Kind kind, int status, List<Header> headers, byte[] body) {
        this.kind = kind;
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = body;
    }

    /** Returns the outcome of a request with a complete response. The body is not copied and must not be changed. */
    public static Outcome answered(int status, List<Header> headers, byte[] body) {
        return new Outcome(Kind.ANSWERED, status, headers, body);
    }

    /** Returns the outcome of a request that ran, without its response. */
    public static Outcome notKept(int status) {
        return new Outcome(Kind.NOT_KEPT, status, List.of(), NO_BODY);
    }

    /** Returns the outcome of a request of which it is unknown whether it ran. */
    public static Outcome unknown() {
        return UNKNOWN;
    }

    /** Returns how much is known. */
    public Kind kind() {
        return kind;
    }

    /** Returns the HTTP status, 0 if it is unknown. */
    public int status() {
        return status;
    }

    /** Returns the headers in their order. */
    public List<Header> headers() {
        return headers;
    }

    /** Returns the body itself, which must not be changed. */
    public byte[] body() {
        return body;
    }

    /** Returns an estimate of the memory that headers and body take. */
    public int bytes() {
        int sum = body.length;
        for (Header header : headers) {
            sum += HEADER_OVERHEAD_BYTES
                    + header.name().length()
                    + header.value().length();
        }
        return sum;
    }
}
