package org.auburnlever.placement

import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.mask
import org.auburnlever.wire.JobPhase

/**
 * An active job and the capacity that it still holds, as indexes of workers and a mask of accelerators for each.
 *
 * The indexes are resolved once per plan, since a search for victims or for a reservation releases the same jobs many
 * times.
 */
internal class RunningJob(val job: JobRecord, private val workerIndexes: IntArray, private val masks: LongArray) {
    val isStopping: Boolean get() = job.phase == JobPhase.STOPPING

    /** Adds what the job holds to [capacity]. */
    fun releaseIn(capacity: Capacity) {
        val shape = job.spec.shape
        for (task in workerIndexes.indices) {
            capacity.workers[workerIndexes[task]].add(masks[task], shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
        }
    }

    /** Whether the job holds an accelerator of [needed], which has a mask for each worker. */
    fun overlaps(needed: LongArray): Boolean =
        workerIndexes.indices.any { needed[workerIndexes[it]] and masks[it] != 0L }

    /** Whether the job has a task on a worker whose free cores or memory are negative in [capacity]. */
    fun holdsOvercommitted(capacity: Capacity): Boolean =
        workerIndexes.any { capacity.workers[it].freeCores < 0 || capacity.workers[it].freeMemoryMiB < 0 }

    companion object {
        fun of(job: JobRecord, capacity: Capacity): RunningJob {
            val workerIndexes = IntArray(job.tasks.size)
            val masks = LongArray(job.tasks.size)
            var held = 0
            for (task in job.tasks) {
                val index = if (task.state.isFinal) -1 else capacity.indexOf(task.placement.worker)
                if (index >= 0) {
                    workerIndexes[held] = index
                    masks[held] = task.placement.mask()
                    held++
                }
            }
            val all = held == workerIndexes.size
            return if (all) {
                RunningJob(job, workerIndexes, masks)
            } else {
                RunningJob(job, workerIndexes.copyOf(held), masks.copyOf(held))
            }
        }
    }
}

/** The active jobs of [state], resolved lazily. */
internal class RunningJobs(private val state: LedgerState, private val capacity: Capacity) {
    /** Jobs with accelerators; far fewer than [all] where most tasks need only cores. */
    val accelerated: List<RunningJob> by lazy { resolve { it.spec.shape.acceleratorsPerTask > 0 } }

    val all: List<RunningJob> by lazy { accelerated + resolve { it.spec.shape.acceleratorsPerTask == 0 } }

    private fun resolve(include: (JobRecord) -> Boolean): List<RunningJob> =
        state.jobs.active.mapNotNull { jobId ->
            state.jobs.all.getValue(jobId).takeIf(include)?.let { RunningJob.of(it, capacity) }
        }
}

/**
 * Finds by bisection the smallest number of [jobs], taken in order, after whose release [attempt] succeeds.
 *
 * Returns that number and the result, or null if [attempt] fails even after the release of all. [base] is not changed.
 */
internal fun <T : Any> bisectReleases(
    base: Capacity,
    jobs: List<RunningJob>,
    attempt: (Capacity) -> T?,
): Pair<Int, T>? {
    // Jobs below the lower bound stay released, so that all steps together release each job about twice.
    val released = base.copyOf()
    var best = attempt(base.afterRelease(jobs, 0, jobs.size))
    var low = 0
    var high = jobs.size
    while (best != null && low < high) {
        val middle = (low + high) / 2
        val found = attempt(released.afterRelease(jobs, low, middle))
        if (found == null) {
            for (index in low..middle) jobs[index].releaseIn(released)
            low = middle + 1
        } else {
            high = middle
            best = found
        }
    }
    return best?.let { high to it }
}

private fun Capacity.afterRelease(jobs: List<RunningJob>, from: Int, to: Int): Capacity {
    val copy = copyOf()
    for (index in from until to) jobs[index].releaseIn(copy)
    return copy
}
