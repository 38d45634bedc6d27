package org.auburnlever.workload.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Resolves the queue and account that [address] refers to in the active catalog, or says why the call is refused. */
fun WorkloadState.admit(address: JobAddress): Result<AdmittedCall, Inadmissible> {
    val inForce = catalog ?: return Err(Inadmissible.NO_CATALOG)
    val queue = inForce.queueFor(address.host, address.path)
    val account = inForce.accountOf(address.key)
    return when {
        queue == null -> Err(Inadmissible.NO_QUEUE)
        account == null && !queue.public -> Err(Inadmissible.BAD_KEY)
        else -> Ok(AdmittedCall(queue, account, address.path.removePrefix(queue.pathPrefix)))
    }
}

/** Returns the job that an admitted call addresses, or null if its queue has no such job. */
fun WorkloadState.jobOf(admitted: AdmittedCall): JobRecord? =
    jobs[admitted.relativePath]?.takeIf { it.isOf(admitted.queue) }

/**
 * Returns the job that was accepted at [address], also if its queue or the key of its caller was removed since; null if
 * none is stored.
 */
internal fun WorkloadState.acceptedAt(address: JobAddress): JobRecord? {
    val id = address.path.substringAfterLast('/')
    val queueAddress = QueueAddress(address.host, address.path.removeSuffix(id))
    return jobs[id]?.takeIf { it.queueAddress == null || it.queueAddress == queueAddress }
}

/** Counts the active jobs of [queue] of which no task has begun by [nowMillis]. */
fun WorkloadState.pendingOf(queue: Queue, nowMillis: Long): Int =
    jobs.values.count { it.isOf(queue) && it.phase == JobPhase.ACTIVE && it.isPending(nowMillis) }

/** Returns whether no task has begun; one that was assigned just now may have its start refused. */
private fun JobRecord.isPending(nowMillis: Long): Boolean {
    val assigned = assigned()
    val answerAwaited = assigned.isNotEmpty() && assigned.all { (_, task) ->
        nowMillis - task.assignedMillis < START_ANSWER_MILLIS
    }
    return !started || !begun && answerAwaited
}

/**
 * Returns whether clients find this job in [queue].
 *
 * The operators may replace the queue at an address by one with another name; clients keep addressing their jobs there.
 */
private fun JobRecord.isOf(queue: Queue): Boolean = this.queue == queue.name || queueAddress == queue.address

/** Longer than a start waits for its answer. */
private const val START_ANSWER_MILLIS = 2_000L
