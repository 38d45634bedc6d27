package org.auburnlever.workload.leaderless

import org.auburnlever.workload.state.Assignment

/**
 * Returns the first of these assignments that one commit should record; the next plan decides on the others again.
 *
 * The load that this addresses: after a period without a leader, much work waits and much capacity is free. One commit
 * for all of it would be a large message to each replica between regions, and its starts would be sent at once, so that
 * the urgent ones would wait for the rest. A step is never split, since a gang must be assigned as a whole.
 */
internal fun List<Assignment>.firstInOneCommit(): List<Assignment> {
    var tasks = 0
    return takeWhile { assignment ->
        val first = tasks == 0
        tasks += assignment.workers.size
        first || tasks <= MAX_TASKS_IN_COMMIT
    }
}

/** About 25 kB of assignments, which a link between regions carries in one commit of 50 ms. */
internal const val MAX_TASKS_IN_COMMIT = 256
