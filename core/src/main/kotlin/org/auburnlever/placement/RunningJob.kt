package org.auburnlever.placement

import org.auburnlever.ledger.JobRecord
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.mask
import org.auburnlever.wire.JobPhase

/**
 * An active job with what it still holds, resolved to slots once per plan, since a search for victims or for a
 * reservation releases the same jobs many times.
 */
internal class RunningJob(val job: JobRecord, private val workerIndexes: IntArray, private val masks: LongArray) {
    val isStopping: Boolean get() = job.phase == JobPhase.STOPPING

    /** Adds what the job holds to the free capacity of [capacity]. */
    fun releaseIn(capacity: Capacity) {
        val shape = job.spec.shape
        for (task in workerIndexes.indices) {
            capacity.workers[workerIndexes[task]].add(masks[task], shape.coresPerTask.toLong(), shape.memoryMiBPerTask)
        }
    }

    /** True when the job holds a bit of [needed], which has a mask for each slot. */
    fun overlaps(needed: LongArray): Boolean =
        workerIndexes.indices.any { needed[workerIndexes[it]] and masks[it] != 0L }

    /** True when the job holds cores or memory on a slot of [capacity] that has less than nothing left. */
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

/** All active jobs, resolved only when a plan needs them. */
internal class RunningJobs(private val state: LedgerState, private val capacity: Capacity) {
    /** Jobs that hold accelerators; far fewer than all where most tasks only need cores. */
    val accelerated: List<RunningJob> by lazy { resolve { it.spec.shape.acceleratorsPerTask > 0 } }

    val all: List<RunningJob> by lazy { accelerated + resolve { it.spec.shape.acceleratorsPerTask == 0 } }

    private fun resolve(include: (JobRecord) -> Boolean): List<RunningJob> =
        state.jobs.active.mapNotNull { jobId ->
            state.jobs.all.getValue(jobId).takeIf(include)?.let { RunningJob.of(it, capacity) }
        }
}

/**
 * Finds the smallest number of [jobs], taken in order, after whose release [attempt] finds something; returns that
 * number and what was found, or null if all of them are not enough. [base] is left as it is.
 */
internal fun <T : Any> bisectReleases(
    base: Capacity,
    jobs: List<RunningJob>,
    attempt: (Capacity) -> T?,
): Pair<Int, T>? {
    // Releases are kept up to the lower bound, so that all steps together release each job about twice.
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
