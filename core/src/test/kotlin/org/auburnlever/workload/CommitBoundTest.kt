package org.auburnlever.workload

import org.auburnlever.workload.leaderless.MAX_TASKS_IN_COMMIT
import org.auburnlever.workload.leaderless.firstInOneCommit
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.StepId
import kotlin.test.Test
import kotlin.test.assertEquals

class CommitBoundTest {
    /** Guards against a rush that the leader decides in one large commit, and against a gang that is split. */
    @Test
    fun `one commit records a bounded number of tasks and whole steps`() {
        val assignments = List(10) { number ->
            Assignment(StepId("job$number", 0, 0), 1, (0 until 64).associateWith { ref("$it") })
        }
        assertEquals(MAX_TASKS_IN_COMMIT / 64, assignments.firstInOneCommit().size)
        val large = listOf(Assignment(StepId("large", 0, 0), 1, (0 until 300).associateWith { ref("$it") }))
        assertEquals(large, large.firstInOneCommit())
    }
}
