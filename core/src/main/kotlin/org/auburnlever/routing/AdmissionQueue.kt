package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.auburnlever.world.AccountName
import kotlin.math.ceil

/** A waiting request. [share] is the weight of its account; [id] grows with arrival. */
data class QueuedRequest(
    val id: Long,
    val account: AccountName,
    val share: Int,
    val urgent: Boolean,
    val deadlineMillis: Long,
)

/** What became of a request that asked for a place in the queue. */
sealed interface OfferResult {
    /** It waits; [displaced] had to leave for it and is refused as not run. */
    data class Queued(val queue: AdmissionQueue, val displaced: QueuedRequest? = null) : OfferResult

    /** The queue is full and no other account holds more than its part. */
    data object Full : OfferResult

    /** Its turn would come after its deadline. */
    data object TooLate : OfferResult
}

/** The queue after a turn: [request] is the request whose turn it is, [expired] those whose deadline passed. */
data class TakeResult(val queue: AdmissionQueue, val request: QueuedRequest?, val expired: List<QueuedRequest>)

/**
 * The bounded queue of one service at one entry host, immutable.
 *
 * Urgent requests go before routine ones. Within a class, accounts take turns in proportion to their shares
 * (start-time fair queueing), and requests of one account keep their order. When the queue is full, the newest routine
 * request of the account with the most waiting requests for its share makes room, so that an account that fills the
 * queue does not shut others out.
 */
class AdmissionQueue private constructor(
    private val accountQueues: PersistentMap<AccountName, AccountQueue>,
    private val virtualTime: Double,
) {
    /** Number of waiting requests. */
    val size: Int get() = accountQueues.values.sumOf { it.size }

    /** Waiting requests by account. */
    val sizeByAccount: Map<AccountName, Int>
        get() = accountQueues.filterValues { it.size > 0 }.mapValues { it.value.size }

    /**
     * Adds [request] if its turn comes early enough at [millisPerRequest] per request and the queue holds under
     * [maxSize].
     */
    fun offer(request: QueuedRequest, maxSize: Int, millisPerRequest: Double, nowMillis: Long): OfferResult {
        val waitMillis = (requestsAhead(request) + 1) * millisPerRequest
        return when {
            nowMillis + waitMillis > request.deadlineMillis -> OfferResult.TooLate
            size < maxSize -> OfferResult.Queued(withRequest(request))
            else -> displaceFor(request)
        }
    }

    /** Takes the next request whose deadline has not passed. */
    fun take(nowMillis: Long): TakeResult {
        val expired = accountQueues.values.flatMap { accountQueue ->
            accountQueue.requests.filter { it.deadlineMillis <= nowMillis }
        }
        val current = if (expired.isEmpty()) this else without(expired.toSet())
        val accountQueue = current.nextAccountQueue()
        return if (accountQueue == null) TakeResult(current, null, expired) else current.takeFrom(accountQueue, expired)
    }

    /** Removes the request with [id] of [account]; the result is null if it does not wait here. */
    fun remove(account: AccountName, id: Long): AdmissionQueue? {
        val accountQueue = accountQueues[account] ?: return null
        val rest = accountQueue.without { it.id == id }
        return if (rest.size == accountQueue.size) {
            null
        } else {
            AdmissionQueue(accountQueues.put(account, rest), virtualTime)
        }
    }

    /** Requests that would be served before [request] if it arrived now. */
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
        /** A queue without requests. */
        val EMPTY = AdmissionQueue(persistentHashMapOf(), virtualTime = 0.0)
    }
}

/** The waiting requests of one account; [virtualFinish] is the virtual time at which its last turn ended. */
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
