package org.auburnlever.workload.interference

import org.auburnlever.workload.state.StepSpec

/** Tells which tasks slow each other down on one worker. */
fun interface NeighbourEvidence {
    /**
     * Returns the expected harm in percent of the slower task's speed if a task of [step] starts on the worker
     * [workerId]; 0 if none is known.
     */
    fun harmPercent(step: StepSpec, workerId: String): Int

    companion object {
        /** No task is known to slow another one down. */
        val NONE = NeighbourEvidence { _, _ -> 0 }
    }
}
