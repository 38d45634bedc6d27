package org.auburnlever.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.model.ServiceName
import org.auburnlever.routing.Admission
import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.OfferResult
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.routing.RoutingRules
import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.SlotGrant
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Result of a request's wait for a slot. */
sealed interface SlotResult {
    /** The request may be sent with [grant]. */
    data class Granted(val grant: SlotGrant) : SlotResult

    /** The queue is full, or a request of an account with fewer waiting requests displaced this one. */
    data object Full : SlotResult

    /** The deadline passed, or is expected to pass before the request's turn. */
    data object TooLate : SlotResult
}

/** Suspends requests in the queues of [state] until they get a slot or their deadline passes. */
internal class SlotWaiters(
    private val state: AtomicState<RoutingState>,
    private val rules: RoutingRules,
    private val clock: () -> Long,
    private val random: Random,
) {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<SlotResult>>()

    /** Waits for a slot in the queue of [service], which holds at most [maxQueue] requests. */
    suspend fun awaitSlot(service: ServiceName, request: QueuedRequest, maxQueue: Int): SlotResult {
        val pending = CompletableDeferred<SlotResult>()
        waiting[request.id] = pending
        return when (val result = state.change { rules.enqueue(it, service, request, maxQueue, clock()) }) {
            is OfferResult.Queued -> {
                result.displaced?.let { complete(it, SlotResult.Full) }
                awaitResult(service, request, pending)
            }
            is OfferResult.Full -> SlotResult.Full.also { waiting.remove(request.id) }
            is OfferResult.TooLate -> SlotResult.TooLate.also { waiting.remove(request.id) }
        }
    }

    /** Grants free slots of [service] to waiting requests. */
    fun admit(service: ServiceName) {
        var admission = admitNext(service)
        while (admission != null) {
            deliver(admission)
            admission = admitNext(service)
        }
    }

    private fun admitNext(service: ServiceName): Admission? =
        state.change { rules.admitNext(it, service, clock(), random) }

    private fun deliver(admission: Admission) {
        admission.expired.forEach { complete(it, SlotResult.TooLate) }
        val accepted = complete(admission.request, SlotResult.Granted(admission.grant))
        if (!accepted) state.update { rules.release(it, admission.grant, AttemptEnd.NotSent, clock()) }
    }

    private fun complete(request: QueuedRequest, result: SlotResult): Boolean =
        waiting.remove(request.id)?.complete(result) ?: false

    /**
     * Waits for the result of [request], and checks for free slots at intervals.
     *
     * The checks are needed because a slot can become free without a release: by an announcement, the end of an
     * ejection, or the deadline of a request that may still be running.
     */
    private suspend fun awaitResult(
        service: ServiceName,
        request: QueuedRequest,
        pending: CompletableDeferred<SlotResult>,
    ): SlotResult {
        var result: SlotResult? = null
        try {
            while (result == null && clock() < request.deadlineMillis) {
                admit(service)
                val pause = minOf(RECHECK_INTERVAL_MILLIS, request.deadlineMillis - clock())
                result = withTimeoutOrNull(pause) { pending.await() }
            }
        } finally {
            if (result == null) result = stopWaiting(service, request, pending)
            if (result is SlotResult.Granted && !currentCoroutineContext().isActive) returnSlot(result.grant)
        }
        return result
    }

    /** Removes [request] from the queue. Returns a grant if the slot was granted at the same time. */
    private suspend fun stopWaiting(
        service: ServiceName,
        request: QueuedRequest,
        pending: CompletableDeferred<SlotResult>,
    ): SlotResult {
        waiting.remove(request.id)
        state.update { it.withoutRequest(service, request) }
        pending.complete(SlotResult.TooLate)
        return withContext(NonCancellable) { pending.await() }
    }

    private fun returnSlot(grant: SlotGrant) {
        state.update { rules.release(it, grant, AttemptEnd.NotSent, clock()) }
        admit(grant.service)
    }

    private companion object {
        const val RECHECK_INTERVAL_MILLIS = 100L
    }
}
