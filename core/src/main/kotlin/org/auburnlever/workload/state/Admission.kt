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
    jobs[admitted.relativePath]?.takeIf { it.queue == admitted.queue.name }

/** Counts the active jobs of [queue] for which no task has been assigned yet. */
fun WorkloadState.pendingOf(queue: Queue): Int =
    jobs.values.count { it.queue == queue.name && it.phase == JobPhase.ACTIVE && !it.started }
