package org.auburnlever.workload

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Checks [address] against the desired state in force. */
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

/** The job that an admitted call names; null if there is none in that queue. */
fun WorkloadState.jobOf(admitted: AdmittedCall): JobRecord? =
    jobs[admitted.relativePath]?.takeIf { it.queue == admitted.queue.name }

/** Accepted jobs of [queue] that run once and for which no task has started. */
fun WorkloadState.pendingOf(queue: Queue): Int =
    jobs.values.count { it.queue == queue.name && it.phase == JobPhase.ACTIVE && !it.started }
