package org.auburnlever.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.auburnlever.model.HostName
import org.auburnlever.peer.AgedAnnouncement
import org.auburnlever.routing.EntryHostShares
import org.auburnlever.routing.QueuedRequest
import org.auburnlever.routing.RoutingRules
import org.auburnlever.routing.RoutingState
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class SlotWaitersTest {
    /** Guards against a slot that is lost when its waiter is cancelled after the grant and before its delivery. */
    @Test
    fun `a slot is released if its waiter was cancelled before the delivery`() {
        val clock = AtomicLong()
        val host = HostName("entry-1")
        val rules = RoutingRules(EntryHostShares(listOf(host), host))
        val state = AtomicState(RoutingState())
        val waiters = SlotWaiters(state, rules, clock::get, Random(1))
        val scope = CoroutineScope(Dispatchers.Unconfined + Job())
        lateinit var leaving: Job
        // An unconfined coroutine resumes within the call that completes it, here between the grant and its delivery.
        val expiring = scope.launch {
            waiters.awaitSlot(
                TAGGING,
                QueuedRequest(1, ACCOUNT, 1, urgent = false, deadlineMillis = 60_000),
                maxQueue = 9,
            )
            leaving.cancel()
        }
        leaving = scope.launch {
            waiters.awaitSlot(
                TAGGING,
                QueuedRequest(2, ACCOUNT, 1, urgent = false, deadlineMillis = 90_000),
                maxQueue = 9,
            )
        }
        clock.set(60_000)
        state.update { rules.mergeAnnouncements(it, listOf(AgedAnnouncement(announcement(9_000), 0)), clock.get()) }
        waiters.admit(TAGGING)
        runBlocking { withTimeout(10_000) { listOf(expiring, leaving).joinAll() } }
        assertEquals(8, rules.serviceLoads(state.current, clock.get()).single().freeSlots)
        scope.coroutineContext[Job]?.cancel()
    }
}
