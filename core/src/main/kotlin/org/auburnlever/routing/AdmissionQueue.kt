package org.auburnlever.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.auburnlever.world.AccountName
import kotlin.math.ceil

/** A waiting request. [share] is the weight of its account; [id] grows with arrival. */
data class Ticket(
    val id: Long,
    val account: AccountName,
    val share: Int,
    val urgent: Boolean,
    val deadlineMillis: Long,
)

/** What became of a request that asked for a place in the queue. */
sealed interface Offer {
    /** It waits; [displaced] had to leave for it and is refused as not run. */
    data class Waiting(val queue: AdmissionQueue, val displaced: Ticket? = null) : Offer

    /** The queue is full and no other account holds more than its part. */
    data object Full : Offer

    /** Its turn would come after its deadline. */
    data object TooLate : Offer
}

/** The queue after a turn: [ticket] is the request whose turn it is, [expired] those whose deadline passed. */
data class Taken(val queue: AdmissionQueue, val ticket: Ticket?, val expired: List<Ticket>)

/**
 * The bounded queue of one service at one entry host, immutable.
 *
 * Urgent requests go before routine ones. Within a class, accounts take turns in proportion to their shares
 * (start-time fair queueing), and requests of one account keep their order. When the queue is full, the newest routine
 * request of the account with the most waiting requests for its share makes room, so that an account that fills the
 * queue does not shut others out.
 */
class AdmissionQueue private constructor(
    private val lanes: PersistentMap<AccountName, Lane>,
    private val virtualTime: Double,
) {
    /** Number of waiting requests. */
    val size: Int get() = lanes.values.sumOf { it.size }

    /** Waiting requests by account. */
    val sizes: Map<AccountName, Int> get() = lanes.filterValues { it.size > 0 }.mapValues { it.value.size }

    /** Adds [ticket] if its turn comes early enough at [slotMillis] per request and the queue holds under [maxSize]. */
    fun offer(ticket: Ticket, maxSize: Int, slotMillis: Double, nowMillis: Long): Offer {
        val waitMillis = (ahead(ticket) + 1) * slotMillis
        return when {
            nowMillis + waitMillis > ticket.deadlineMillis -> Offer.TooLate
            size < maxSize -> Offer.Waiting(with(ticket))
            else -> displaceFor(ticket)
        }
    }

    /** Takes the next request whose deadline has not passed. */
    fun take(nowMillis: Long): Taken {
        val expired = lanes.values.flatMap { lane -> lane.all.filter { it.deadlineMillis <= nowMillis } }
        val current = if (expired.isEmpty()) this else without(expired.toSet())
        val lane = current.nextLane()
        return if (lane == null) Taken(current, null, expired) else current.takeFrom(lane, expired)
    }

    /** Removes the request with [id] of [account]; the result is null if it does not wait here. */
    fun remove(account: AccountName, id: Long): AdmissionQueue? {
        val lane = lanes[account] ?: return null
        val rest = lane.without { it.id == id }
        return if (rest.size == lane.size) null else AdmissionQueue(lanes.put(account, rest), virtualTime)
    }

    /** Requests that would be served before [ticket] if it arrived now. */
    fun ahead(ticket: Ticket): Int = lanes.entries.sumOf { (account, lane) ->
        if (account == ticket.account) lane.waiting(ticket.urgent) else aheadOf(ticket, lane)
    }

    private fun aheadOf(ticket: Ticket, other: Lane): Int {
        val own = lanes[ticket.account]
        val turns = 1 + (own?.sameClass(ticket.urgent) ?: 0)
        val fair = ceil(turns * other.share.toDouble() / ticket.share.coerceAtLeast(1)).toInt()
        val before = if (ticket.urgent) 0 else other.urgent.size
        return before + minOf(other.sameClass(ticket.urgent), fair)
    }

    private fun with(ticket: Ticket): AdmissionQueue {
        val lane = lanes[ticket.account] ?: Lane(ticket.share, virtualTime)
        return AdmissionQueue(lanes.put(ticket.account, lane.with(ticket)), virtualTime)
    }

    private fun displaceFor(ticket: Ticket): Offer {
        val grown = with(ticket)
        val routineOnly = grown.lanes.values.any { it.routine.isNotEmpty() }
        val heaviest = grown.lanes.values
            .filter { if (routineOnly) it.routine.isNotEmpty() else it.urgent.isNotEmpty() }
            .maxWith(compareBy<Lane> { it.size.toDouble() / it.share }.thenBy { it.newest(routineOnly).id })
        val victim = heaviest.newest(routineOnly)
        val rest = grown.remove(victim.account, victim.id)
        return if (victim.id == ticket.id || rest == null) Offer.Full else Offer.Waiting(rest, victim)
    }

    private fun nextLane(): Lane? {
        val urgent = lanes.values.filter { it.urgent.isNotEmpty() }
        val eligible = urgent.ifEmpty { lanes.values.filter { it.routine.isNotEmpty() } }
        return eligible.minWithOrNull(
            compareBy<Lane> { maxOf(it.finishedAt, virtualTime) }.thenBy { it.oldest().id },
        )
    }

    private fun takeFrom(lane: Lane, expired: List<Ticket>): Taken {
        val ticket = lane.oldest()
        val start = maxOf(lane.finishedAt, virtualTime)
        val served = lane.without { it.id == ticket.id }.copy(finishedAt = start + 1.0 / lane.share)
        val idle = lanes.filterValues { it.size == 0 && it.finishedAt <= start }.keys
        val kept = idle.fold(lanes.put(ticket.account, served)) { rest, account -> rest.remove(account) }
        return Taken(AdmissionQueue(kept, start), ticket, expired)
    }

    private fun without(dropped: Set<Ticket>): AdmissionQueue {
        val kept = lanes.mutate { all -> all.replaceAll { _, lane -> lane.without { it in dropped } } }
        return AdmissionQueue(kept, virtualTime)
    }

    companion object {
        /** A queue without requests. */
        val EMPTY = AdmissionQueue(persistentHashMapOf(), virtualTime = 0.0)
    }
}

/** The waiting requests of one account; [finishedAt] is the virtual time at which its last turn ended. */
internal data class Lane(
    val share: Int,
    val finishedAt: Double,
    val urgent: PersistentList<Ticket> = persistentListOf(),
    val routine: PersistentList<Ticket> = persistentListOf(),
) {
    val size: Int get() = urgent.size + routine.size

    fun with(ticket: Ticket): Lane {
        val weighted = copy(share = ticket.share.coerceAtLeast(1))
        return if (ticket.urgent) {
            weighted.copy(urgent = urgent.add(ticket))
        } else {
            weighted.copy(routine = routine.add(ticket))
        }
    }

    fun without(dropped: (Ticket) -> Boolean): Lane =
        copy(urgent = urgent.removeAll(dropped), routine = routine.removeAll(dropped))

    val all: List<Ticket> get() = urgent + routine

    fun sameClass(isUrgent: Boolean): Int = if (isUrgent) urgent.size else routine.size

    fun waiting(isUrgent: Boolean): Int = if (isUrgent) urgent.size else size

    fun oldest(): Ticket = urgent.firstOrNull() ?: routine.first()

    fun newest(fromRoutine: Boolean): Ticket = if (fromRoutine) routine.last() else urgent.last()
}
