package org.auburnlever.workload.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable
import org.auburnlever.model.ServiceName

/**
 * When a job that was turned away is expected back.
 *
 * @property firstMillis when the caller first submitted the job, from which it measures its objective
 * @property returnMillis when the caller is asked to submit it again
 * @property workerMillis time for which the job would occupy one whole worker
 */
@Serializable
data class ReturnSlot(
    val service: ServiceName,
    val priority: Int,
    val firstMillis: Long,
    val returnMillis: Long,
    val workerMillis: Long,
)

/**
 * Turns the job [id] away until [offered] or, if its caller came early, until the time that it was given before.
 *
 * The first time of submission is kept over all attempts. The number of slots is bounded; those that are due first go
 * first.
 */
internal fun WorkloadState.turnAway(id: String, offered: ReturnSlot?): AppliedWorkload {
    val earlier = returns[id]
    val slot = when {
        offered == null || earlier == null -> offered
        earlier.returnMillis > nowMillis -> earlier
        else -> offered.copy(firstMillis = earlier.firstMillis)
    }
    val next = if (slot == null) this else copy(returns = returns.put(id, slot).bounded())
    return AppliedWorkload(next, WorkloadReply.NotAdmitted(Inadmissible.OVERLOADED, slot?.returnMillis))
}

/** Returns the slots of callers that may still come back: the longest objectives end within that time. */
internal fun PersistentMap<String, ReturnSlot>.expected(nowMillis: Long): PersistentMap<String, ReturnSlot> =
    entries.filter { nowMillis - it.value.returnMillis > KEPT_MILLIS }.fold(this) { kept, (id, _) -> kept.remove(id) }

private fun PersistentMap<String, ReturnSlot>.bounded(): PersistentMap<String, ReturnSlot> =
    if (size <= MAX_SLOTS) this else remove(entries.minWith(compareBy({ it.value.returnMillis }, { it.key })).key)

private const val KEPT_MILLIS = 60_000L

/** What arrives in a minute of the heaviest bursts; about 100 bytes each. */
private const val MAX_SLOTS = 1_000
