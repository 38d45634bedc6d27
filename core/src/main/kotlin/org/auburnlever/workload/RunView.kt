package org.auburnlever.workload

/**
 * What the leader knows of an assigned run; kept in memory.
 *
 * @property answeredMillis when the start was answered or its answer was given up; null while it is open
 * @property begun whether the life of [worker] is known to have taken the start, so that no later life can
 * @property missingSinceMillis when a look first did not list the run
 * @property stopAnsweredMillis when the worker confirmed a stop, after which the run can't begin any more
 * @property stopSentMillis when the newest stop was sent
 * @property progressMillis when [percent] last changed
 */
internal data class RunView(
    val worker: WorkerRef,
    val answeredMillis: Long?,
    val begun: Boolean = false,
    val percent: Int = 0,
    val progressMillis: Long = 0,
    val checkpoint: String = "",
    val missingSinceMillis: Long? = null,
    val stopSentMillis: Long? = null,
    val stopAnsweredMillis: Long? = null,
)
