package org.trefoilledge.sidecar;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Provides Logback with the configuration of {@link SidecarLogging} and nothing else. The search for a configuration
 * that Logback's own provider makes links method handles at each start. Selected by the system property {@code
 * slf4j.provider}.
 */
public final class SidecarLogProvider implements SLF4JServiceProvider {
    private static final String API_VERSION = "2.0.99";

    private final LoggerContext context = new LoggerContext();
    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final LogbackMDCAdapter mdc = new LogbackMDCAdapter();

    @Override
    public void initialize() {
        context.setName("default");
        context.setMDCAdapter(mdc);
        SidecarLogging.configure(context, System.getProperty(SidecarLogging.FORMAT_PROPERTY, "json"));
        context.start();
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return context;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mdc;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }
}
