package org.trefoilledge.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallTreeTest {
    private static final int DEPTH = 7;
    private static final int WIDTH = 3;
    private static final int TREE_SIZE = 1_093;

    private int executions;

    /** Executes one call and returns the unused budget. Calls at the last hop fail; only their parents retry. */
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

    /** Guards against retry amplification: without a shared budget, retries multiply at each hop. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 8, 100})
    void executionsAreBoundedByTreeSizePlusBudget(int budget) {
        execute(1, budget);
        assertThat(executions).isBetween(TREE_SIZE, TREE_SIZE + budget);
    }
}
