package org.trefoilledge.sidecar;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging in code, because parsing a configuration file slows down every start. Logback discovers this class
 * through {@link java.util.ServiceLoader}. If {@link #FORMAT_PROPERTY} is not set, the next configurator is invoked.
 */
public final class SidecarLogging extends ContextAwareBase implements Configurator {
    /** System property for the log format: {@code json} or {@code text}. */
    public static final String FORMAT_PROPERTY = "trefoilledge.sidecar.log";

    private static final String LEVEL_PROPERTY = "trefoilledge.log.level";
    private static final String TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5level %msg %kvp%n";
    /** Number of log lines buffered for a slow console; further lines are dropped. */
    private static final int QUEUE_CAPACITY_LINES = 1_024;

    @Override
    public ExecutionStatus configure(LoggerContext loggerContext) {
        String format = System.getProperty(FORMAT_PROPERTY);
        if (format == null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        configure(loggerContext, format);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    /** Configures a context for the given format, {@code json} or {@code text}. */
    static void configure(LoggerContext loggerContext, String format) {
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(loggerContext);
        console.setEncoder(format.equals("json") ? jsonEncoder(loggerContext) : textEncoder(loggerContext));
        console.start();
        AsyncAppender asyncAppender = new AsyncAppender();
        asyncAppender.setContext(loggerContext);
        asyncAppender.setQueueSize(QUEUE_CAPACITY_LINES);
        asyncAppender.setDiscardingThreshold(0);
        // A blocked console must not block traffic.
        asyncAppender.setNeverBlock(true);
        asyncAppender.addAppender(console);
        asyncAppender.start();
        loggerContext.getLogger("io.netty").setLevel(Level.WARN);
        Logger root = loggerContext.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(asyncAppender);
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext loggerContext) {
        JsonLogEncoder encoder = new JsonLogEncoder();
        encoder.setContext(loggerContext);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext loggerContext) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(loggerContext);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }
}
