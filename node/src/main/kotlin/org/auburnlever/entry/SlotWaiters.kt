package org.auburnlever.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.auburnlever.routing.Admission
import org.auburnlever.routing.AttemptEnd
import org.auburnlever.routing.OfferResult
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.routing.RoutingRules
import org.auburnlever.routing.RoutingState
import org.auburnlever.routing.SlotGrant
import org.auburnlever.world.ServiceName
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Answer to a request that waits for a slot. */
sealed interface SlotAnswer {
    /** The request may be sent. */
    data class Granted(val grant: SlotGrant) : SlotAnswer

    /** The queue is full, or a request of an account with fewer waiting ones took the place. */
    data object Full : SlotAnswer

    /** The deadline passed or would pass before the request's turn. */
    data object TooLate : SlotAnswer
}

/** The coroutines that wait in the queues of [state]. */
internal class SlotWaiters(
    private val state: Published<RoutingState>,
    private val rules: RoutingRules,
    private val clock: () -> Long,
    private val random: Random,
) {
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<SlotAnswer>>()

    /** Waits for a slot in the queue of [service], which holds at most [maxQueue] requests. */
    suspend fun awaitSlot(service: ServiceName, ticket: QueuedRequest, maxQueue: Int): SlotAnswer {
        val turn = CompletableDeferred<SlotAnswer>()
        waiting[ticket.id] = turn
        return when (val offer = state.change { rules.enqueue(it, service, ticket, maxQueue, clock()) }) {
            is OfferResult.Queued -> {
                offer.displaced?.let { answer(it, SlotAnswer.Full) }
                awaitTurn(service, ticket, turn)
            }
            is OfferResult.Full -> SlotAnswer.Full.also { waiting.remove(ticket.id) }
            is OfferResult.TooLate -> SlotAnswer.TooLate.also { waiting.remove(ticket.id) }
        }
    }

    /** Gives free slots of [service] to waiting requests. */
    fun admit(service: ServiceName) {
        var admission = next(service)
        while (admission != null) {
            hand(admission)
            admission = next(service)
        }
    }

    private fun next(service: ServiceName): Admission? =
        state.change { rules.admitNext(it, service, clock(), random) }

    private fun hand(admission: Admission) {
        admission.expired.forEach { answer(it, SlotAnswer.TooLate) }
        val accepted = answer(admission.request, SlotAnswer.Granted(admission.grant))
        if (!accepted) state.update { rules.release(it, admission.grant, AttemptEnd.NotSent, clock()) }
    }

    private fun answer(ticket: QueuedRequest, answer: SlotAnswer): Boolean =
        waiting.remove(ticket.id)?.complete(answer) ?: false

    /**
     * Slots also become free without a release: by an announcement, the end of an ejection, or the deadline of an
     * unsettled request. Waiting requests therefore look for slots themselves.
     */
    private suspend fun awaitTurn(
        service: ServiceName,
        ticket: QueuedRequest,
        turn: CompletableDeferred<SlotAnswer>,
    ): SlotAnswer {
        var answer: SlotAnswer? = null
        try {
            while (answer == null && clock() < ticket.deadlineMillis) {
                admit(service)
                val pause = minOf(RECHECK_MILLIS, ticket.deadlineMillis - clock())
                answer = withTimeoutOrNull(pause) { turn.await() }
            }
        } finally {
            if (answer == null) answer = leave(service, ticket, turn)
            if (answer is SlotAnswer.Granted && !currentCoroutineContext().isActive) giveBack(answer.grant)
        }
        return answer
    }

    /** Ends the wait. The answer is a slot if one was given at the same moment. */
    private suspend fun leave(
        service: ServiceName,
        ticket: QueuedRequest,
        turn: CompletableDeferred<SlotAnswer>,
    ): SlotAnswer {
        waiting.remove(ticket.id)
        state.update { it.withoutRequest(service, ticket) }
        turn.complete(SlotAnswer.TooLate)
        return withContext(NonCancellable) { turn.await() }
    }

    private fun giveBack(grant: SlotGrant) {
        state.update { rules.release(it, grant, AttemptEnd.NotSent, clock()) }
        admit(grant.service)
    }

    private companion object {
        const val RECHECK_MILLIS = 100L
    }
}
