package org.trefoilledge.node;

import java.io.IOException;
import java.util.Map;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP/1.1 transport that closes an idle connection on which anything arrives: bytes that belong to no request. */
final class UpstreamTransport extends HttpClientTransportOverHTTP {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamTransport.class);

    @Override
    public Connection newConnection(EndPoint endPoint, Map<String, Object> context) throws IOException {
        UpstreamConnection connection = new UpstreamConnection(endPoint, context);
        connection.setInitialize(isInitializeConnections());
        return customize(connection, context);
    }

    private static final class UpstreamConnection extends HttpConnectionOverHTTP {
        UpstreamConnection(EndPoint endPoint, Map<String, Object> context) {
            super(endPoint, context);
        }

        /** Without a request, the library would parse the bytes and append the next response to them. */
        @Override
        public void onFillable() {
            if (getHttpChannel().getHttpExchange() == null) {
                LOG.debug("upstream: closing an idle connection with unread bytes, or closed by the upstream");
                close();
            } else {
                super.onFillable();
            }
        }
    }
}
