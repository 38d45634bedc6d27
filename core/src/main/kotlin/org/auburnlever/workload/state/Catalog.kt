package org.auburnlever.workload.state

import kotlinx.serialization.Serializable
import org.auburnlever.model.AccountName
import org.auburnlever.model.ServiceName

/** The desired state that operators publish: queues, services and client accounts. The highest version is active. */
@Serializable
data class Catalog(
    val version: Long,
    val queues: List<Queue>,
    val services: List<CatalogService>,
    val accounts: List<Account>,
) {
    /** Returns the queue of [host] with the longest prefix of [path]. */
    fun queueFor(host: String, path: String): Queue? =
        queues.filter { it.host == host && path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }

    /** Returns the account that owns [key]. */
    fun accountOf(key: String?): Account? = accounts.firstOrNull { key != null && key in it.keys }
}

/** A named job queue that clients address by [host] and [pathPrefix]. */
@Serializable
data class Queue(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val service: ServiceName,
    val public: Boolean,
    val policy: QueuePolicy,
) {
    /** Where clients address the queue. */
    val address: QueueAddress get() = QueueAddress(host, pathPrefix)
}

/** The host and path prefix of a queue, which clients know, other than its name. */
@Serializable
data class QueueAddress(val host: String, val pathPrefix: String)

/**
 * Scheduling policy of a queue's jobs.
 *
 * @property priority 0 is the highest and may preempt the others
 * @property maxAttempts number of failed runs of a task or gang at which its job fails
 * @property stretch factor by which a job's critical path counts toward its completion objective
 * @property targetLatencyMillis constant part of the completion objective
 * @property needsAdvice whether a policy service chooses the workers that may run a step
 */
@Serializable
data class QueuePolicy(
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
    val targetLatencyMillis: Long,
    val needsAdvice: Boolean = false,
) {
    /** Returns the time from a job's begin to its objective, for a critical path of [criticalPathMillis]. */
    fun objectiveAfterMillis(criticalPathMillis: Long): Long =
        targetLatencyMillis + (stretch * criticalPathMillis).toLong()
}

/** A service, which is a pool of workers. */
@Serializable
data class CatalogService(val name: ServiceName, val enforcesCapacity: Boolean)

/**
 * A client account.
 *
 * @property keys keys that identify the account's calls
 * @property guaranteedAccelerators accelerators that the account's urgent jobs are entitled to at all times
 */
@Serializable
data class Account(val name: AccountName, val keys: List<String>, val guaranteedAccelerators: Int)

/** Returns the guaranteed accelerators of each account of the active catalog. */
internal fun WorkloadState.guarantees(): Map<AccountName, Int> =
    catalog?.accounts.orEmpty().associate { it.name to it.guaranteedAccelerators }
