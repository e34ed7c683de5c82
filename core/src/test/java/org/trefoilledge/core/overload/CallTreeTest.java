package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallTreeTest {
    private static final int DEPTH = 7;
    private static final int WIDTH = 3;
    private static final int TREE_SIZE = 1_093;

    private int executions;

    /** Executes one call, of which the deepest fail, and returns the unused budget; inner hops do not retry. */
    private int execute(int depth, int attempts) {
        executions++;
        AttemptBudget budget = new AttemptBudget(attempts);
        for (int child = 0; depth < DEPTH && child < WIDTH; child++) {
            budget.returnUnused(execute(depth + 1, budget.takeChildShare()));
            while (depth == DEPTH - 1 && budget.tryAcquire()) {
                budget.returnUnused(execute(depth + 1, budget.takeChildShare()));
            }
        }
        return budget.close();
    }

    /** Guards against amplification: without a shared budget, retries multiply at each of the hops. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 8, 100})
    void executionsAreBoundedByTreeSizePlusBudget(int budget) {
        execute(1, budget);
        assertThat(executions).isBetween(TREE_SIZE, TREE_SIZE + budget);
    }
}
