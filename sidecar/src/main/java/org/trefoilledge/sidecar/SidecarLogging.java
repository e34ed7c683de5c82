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
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;

/**
 * Sets up the logs of a sidecar by code, because reading a configuration file makes each start longer. Logback finds this
 * class as a service; without the system property it leaves the set-up to the others.
 */
public final class SidecarLogging extends ContextAwareBase implements Configurator {
    /** System property with the format of the log lines: {@code json} or {@code text}. */
    public static final String FORMAT_PROPERTY = "trefoilledge.sidecar.log";

    private static final String LEVEL_PROPERTY = "trefoilledge.log.level";
    private static final String TEXT_PATTERN = "%d{HH:mm:ss.SSS} %-5level %msg %kvp%n";
    /** Lines that may wait for a slow console; further ones are dropped. */
    private static final int QUEUE_CAPACITY_LINES = 1_024;

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        String format = System.getProperty(FORMAT_PROPERTY);
        if (format == null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(loggers);
        console.setEncoder(format.equals("json") ? jsonEncoder(loggers) : textEncoder(loggers));
        console.start();
        AsyncAppender asynchronous = new AsyncAppender();
        asynchronous.setContext(loggers);
        asynchronous.setQueueSize(QUEUE_CAPACITY_LINES);
        asynchronous.setDiscardingThreshold(0);
        // A blocked console must not block traffic.
        asynchronous.setNeverBlock(true);
        asynchronous.addAppender(console);
        asynchronous.start();
        loggers.getLogger("io.netty").setLevel(Level.WARN);
        Logger root = loggers.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(asynchronous);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext loggers) {
        LogstashFieldNames names = new LogstashFieldNames();
        names.setVersion("[ignore]");
        names.setLevelValue("[ignore]");
        names.setThread("[ignore]");
        LogstashEncoder encoder = new LogstashEncoder();
        encoder.setContext(loggers);
        encoder.setFieldNames(names);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext loggers) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(loggers);
        encoder.setPattern(TEXT_PATTERN);
        encoder.start();
        return encoder;
    }
}
