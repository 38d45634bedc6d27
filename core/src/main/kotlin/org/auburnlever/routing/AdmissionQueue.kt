package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.auburnlever.model.AccountName
import kotlin.math.ceil

/** A request in an [AdmissionQueue]. [share] is the weight of its account; [id] increases in order of arrival. */
data class QueuedRequest(
    val id: Long,
    val account: AccountName,
    val share: Int,
    val urgent: Boolean,
    val deadlineMillis: Long,
)

/** Result of [AdmissionQueue.offer]. */
sealed interface OfferResult {
    /** The request was queued. [displaced] was removed to make room for it and is refused as not run. */
    data class Queued(val queue: AdmissionQueue, val displaced: QueuedRequest? = null) : OfferResult

    /** The queue is full and no other account holds more than its fair share of it. */
    data object Full : OfferResult

    /** The request would be served after its deadline. */
    data object TooLate : OfferResult
}

/**
 * Result of [AdmissionQueue.take]: the remaining [queue], the [request] to serve next, null if none waits, and the
 * [expired] requests, which were removed because their deadline passed.
 */
data class TakeResult(val queue: AdmissionQueue, val request: QueuedRequest?, val expired: List<QueuedRequest>)

/**
 * Immutable bounded queue for the requests to one service at one entry host.
 *
 * Urgent requests are served before routine ones. Within a priority class, accounts are served in proportion to their
 * shares (start-time fair queueing), and requests of one account in order of arrival. When the queue is full, a new
 * request displaces the newest routine request of the account with the most waiting requests relative to its share, so
 * that one account cannot fill the queue and lock the others out.
 */
class AdmissionQueue private constructor(
    private val accountQueues: PersistentMap<AccountName, AccountQueue>,
    private val virtualTime: Double,
) {
    /** Number of queued requests. */
    val size: Int get() = accountQueues.values.sumOf { it.size }

    /** Number of queued requests by account; accounts without any are left out. */
    val sizeByAccount: Map<AccountName, Int>
        get() = accountQueues.filterValues { it.size > 0 }.mapValues { it.value.size }

    /**
     * Adds [request] unless it would be served after its deadline, at [millisPerRequest] for it and each request ahead.
     * A queue of [maxSize] requests accepts it only by displacing another one.
     */
    fun offer(request: QueuedRequest, maxSize: Int, millisPerRequest: Double, nowMillis: Long): OfferResult {
        val waitMillis = (requestsAhead(request) + 1) * millisPerRequest
        return when {
            nowMillis + waitMillis > request.deadlineMillis -> OfferResult.TooLate
            size < maxSize -> OfferResult.Queued(withRequest(request))
            else -> displaceFor(request)
        }
    }

    /** Removes expired requests and takes the next of the others. */
    fun take(nowMillis: Long): TakeResult {
        val expired = accountQueues.values.flatMap { accountQueue ->
            accountQueue.requests.filter { it.deadlineMillis <= nowMillis }
        }
        val current = if (expired.isEmpty()) this else without(expired.toSet())
        val accountQueue = current.nextAccountQueue()
        return if (accountQueue == null) TakeResult(current, null, expired) else current.takeFrom(accountQueue, expired)
    }

    /** Returns the queue without the request with [id] of [account], or null if it is not in the queue. */
    fun remove(account: AccountName, id: Long): AdmissionQueue? {
        val accountQueue = accountQueues[account] ?: return null
        val rest = accountQueue.without { it.id == id }
        return if (rest.size == accountQueue.size) {
            null
        } else {
            AdmissionQueue(accountQueues.put(account, rest), virtualTime)
        }
    }

    /** Returns the number of requests that would be served before [request] if it arrived now. */
    fun requestsAhead(request: QueuedRequest): Int = accountQueues.entries.sumOf { (account, accountQueue) ->
        if (account == request.account) {
            accountQueue.sizeUpToClass(request.urgent)
        } else {
            requestsAheadIn(request, accountQueue)
        }
    }

    private fun requestsAheadIn(request: QueuedRequest, other: AccountQueue): Int {
        val ownQueue = accountQueues[request.account]
        val turns = 1 + (ownQueue?.sizeOfClass(request.urgent) ?: 0)
        val fairTurns = ceil(turns * other.share.toDouble() / request.share.coerceAtLeast(1)).toInt()
        val before = if (request.urgent) 0 else other.urgent.size
        return before + minOf(other.sizeOfClass(request.urgent), fairTurns)
    }

    private fun withRequest(request: QueuedRequest): AdmissionQueue {
        val accountQueue = accountQueues[request.account] ?: AccountQueue(request.share, virtualTime)
        return AdmissionQueue(accountQueues.put(request.account, accountQueue.withRequest(request)), virtualTime)
    }

    private fun displaceFor(request: QueuedRequest): OfferResult {
        val overfull = withRequest(request)
        val fromRoutine = overfull.accountQueues.values.any { it.routine.isNotEmpty() }
        val heaviest = overfull.accountQueues.values
            .filter { if (fromRoutine) it.routine.isNotEmpty() else it.urgent.isNotEmpty() }
            .maxWith(compareBy<AccountQueue> { it.size.toDouble() / it.share }.thenBy { it.newest(fromRoutine).id })
        val displaced = heaviest.newest(fromRoutine)
        val rest = overfull.remove(displaced.account, displaced.id)
        return if (displaced.id == request.id || rest == null) OfferResult.Full else OfferResult.Queued(rest, displaced)
    }

    private fun nextAccountQueue(): AccountQueue? {
        val urgent = accountQueues.values.filter { it.urgent.isNotEmpty() }
        val eligible = urgent.ifEmpty { accountQueues.values.filter { it.routine.isNotEmpty() } }
        return eligible.minWithOrNull(
            compareBy<AccountQueue> { maxOf(it.virtualFinish, virtualTime) }.thenBy { it.next().id },
        )
    }

    private fun takeFrom(accountQueue: AccountQueue, expired: List<QueuedRequest>): TakeResult {
        val request = accountQueue.next()
        val start = maxOf(accountQueue.virtualFinish, virtualTime)
        val served = accountQueue.without { it.id == request.id }.copy(virtualFinish = start + 1.0 / accountQueue.share)
        val idle = accountQueues.filterValues { it.size == 0 && it.virtualFinish <= start }.keys
        val kept = idle.fold(accountQueues.put(request.account, served)) { rest, account -> rest.remove(account) }
        return TakeResult(AdmissionQueue(kept, start), request, expired)
    }

    private fun without(dropped: Set<QueuedRequest>): AdmissionQueue {
        val kept = accountQueues.mutate { all ->
            all.replaceAll { _, accountQueue -> accountQueue.without { it in dropped } }
        }
        return AdmissionQueue(kept, virtualTime)
    }

    companion object {
        /** The empty queue. */
        val EMPTY = AdmissionQueue(persistentHashMapOf(), virtualTime = 0.0)
    }
}

/** The queued requests of one account; [virtualFinish] is the virtual finish time of the last one that was taken. */
internal data class AccountQueue(
    val share: Int,
    val virtualFinish: Double,
    val urgent: PersistentList<QueuedRequest> = persistentListOf(),
    val routine: PersistentList<QueuedRequest> = persistentListOf(),
) {
    val size: Int get() = urgent.size + routine.size

    fun withRequest(request: QueuedRequest): AccountQueue {
        val weighted = copy(share = request.share.coerceAtLeast(1))
        return if (request.urgent) {
            weighted.copy(urgent = urgent.add(request))
        } else {
            weighted.copy(routine = routine.add(request))
        }
    }

    fun without(dropped: (QueuedRequest) -> Boolean): AccountQueue =
        copy(urgent = urgent.removeAll(dropped), routine = routine.removeAll(dropped))

    val requests: List<QueuedRequest> get() = urgent + routine

    fun sizeOfClass(isUrgent: Boolean): Int = if (isUrgent) urgent.size else routine.size

    fun sizeUpToClass(isUrgent: Boolean): Int = if (isUrgent) urgent.size else size

    fun next(): QueuedRequest = urgent.firstOrNull() ?: routine.first()

    fun newest(fromRoutine: Boolean): QueuedRequest = if (fromRoutine) routine.last() else urgent.last()
}
