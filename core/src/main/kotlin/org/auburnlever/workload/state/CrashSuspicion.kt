package org.auburnlever.workload.state

import org.auburnlever.workload.holds.HoldRule

/**
 * Whether the task gets a worker without runs of other jobs, since it may have crashed the workers of its earlier runs.
 *
 * A crash takes all runs of the worker with it and does not tell which of them caused it, so only a crash of a worker
 * without other jobs can be held against a task.
 */
internal val TaskRecord.runsAlone: Boolean get() = crashSuspicion >= ALONE_SUSPICION

/** Returns whether [task] of this step waits for a worker of its own at [nowMillis]; only for a limited time. */
internal fun StepSpec.waitsForIdleWorker(task: TaskRecord, nowMillis: Long): Boolean =
    task.runsAlone && nowMillis < idleWorkerWaitEndMillis(task)

/** Returns the Unix time until which [task] of this step waits for a worker of its own, if it runs alone. */
internal fun StepSpec.idleWorkerWaitEndMillis(task: TaskRecord): Long =
    task.releasedMillis + if (longRunning) LONG_RUNNING_PATIENCE_MILLIS else HoldRule.DRAINED_WORKER.limitMillis

/** Whether so many workers have crashed under the task, twice without another job, that it is not started again. */
internal val TaskRecord.crashesWorkers: Boolean get() = crashSuspicion >= CRASHING_SUSPICION

/** Returns the task's suspicion after its worker crashed under a run. */
internal fun TaskRecord.suspicionAfter(crash: CrashTiming): Int = when {
    !runsAlone && crash == CrashTiming.LATER -> crashSuspicion + 1
    !runsAlone -> ALONE_SUSPICION
    crash == CrashTiming.ALONE -> crashSuspicion + 1
    else -> crashSuspicion
}

/** Reached by one crash at a start, or two others. */
private const val ALONE_SUSPICION = 2

/** The first crash of a task that runs alone may be a coincidence, a second one hardly is. */
private const val CRASHING_SUSPICION = ALONE_SUSPICION + 2

/** A long-running task has to be back within 6 s of its last run, of which a crash takes half until it is known. */
private const val LONG_RUNNING_PATIENCE_MILLIS = 2_000L
