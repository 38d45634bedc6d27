package org.auburnlever.workload

import kotlinx.serialization.Serializable
import org.auburnlever.world.AccountName
import org.auburnlever.world.ServiceName

/** The operators' desired state: queues, services and client accounts. The highest version is in force. */
@Serializable
data class Catalog(
    val version: Long,
    val queues: List<Queue>,
    val services: List<CatalogService>,
    val accounts: List<Account>,
) {
    /** The queue with the longest path prefix for [host] and [path]. */
    fun queueFor(host: String, path: String): Queue? =
        queues.filter { it.host == host && path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }

    /** The account that holds [key]. */
    fun accountOf(key: String?): Account? = accounts.firstOrNull { key != null && key in it.keys }
}

/** A named queue that clients reach at [host] and [pathPrefix]. */
@Serializable
data class Queue(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val service: ServiceName,
    val public: Boolean,
    val policy: QueuePolicy,
)

/**
 * How a queue's jobs are treated.
 *
 * @property priority 0 comes first and may displace others
 * @property maxAttempts failed runs of a task or gang after which its job has failed
 * @property stretch factor of the longest chain of work in a job's objective
 * @property targetLatencyMillis added to the objective
 * @property needsAdvice a policy service names the workers that may run a step
 */
@Serializable
data class QueuePolicy(
    val priority: Int,
    val maxAttempts: Int,
    val stretch: Double,
    val targetLatencyMillis: Long,
    val needsAdvice: Boolean = false,
)

/** A pool of workers. */
@Serializable
data class CatalogService(val name: ServiceName, val enforcesCapacity: Boolean)

/** A client account, the keys of its calls, and the accelerators that belong to its urgent jobs at all times. */
@Serializable
data class Account(val name: AccountName, val keys: List<String>, val guaranteedAccelerators: Int)
