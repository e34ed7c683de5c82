package org.trefoilledge.bench;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.trefoilledge.core.Clock;

/** Measures the cost of reading the clock, which is part of the cost of each admission decision. */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ClockBenchmark {
    private static final Clock CLOCK = Clock.system();

    /** Reads the system clock. */
    @Benchmark
    public long systemClock() {
        return CLOCK.millis();
    }
}
