package org.auburnlever.routing

import org.auburnlever.world.AccountName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class AdmissionQueueTest {
    private fun ticket(
        id: Long,
        account: String,
        urgent: Boolean = false,
        share: Int = 1,
        deadlineMillis: Long = 1_000,
    ) = Ticket(id, AccountName(account), share, urgent, deadlineMillis)

    private fun urgent(id: Long, account: String) = ticket(id, account, urgent = true)

    private fun queueOf(vararg tickets: Ticket) = tickets.fold(AdmissionQueue.EMPTY) { queue, ticket ->
        assertIs<Offer.Waiting>(queue.offer(ticket, maxSize = 100, slotMillis = 0.0, nowMillis = 0)).queue
    }

    private fun order(queue: AdmissionQueue): List<Ticket> =
        generateSequence(queue.take(0)) { it.queue.take(0) }.map { it.ticket }.takeWhile { it != null }
            .filterNotNull()
            .toList()

    @Test
    fun `urgent requests go before routine ones`() {
        val queue = queueOf(ticket(1, "a"), urgent(2, "a"), ticket(3, "b"), urgent(4, "b"))
        assertEquals(listOf(2L, 4L, 1L, 3L), order(queue).map { it.id })
    }

    /** Guards against a heavy account whose backlog a light account has to wait for. */
    @Test
    fun `a light account is served after one turn of a heavy one`() {
        val heavy = Array(50) { ticket(it.toLong(), "heavy") }
        val order = order(queueOf(*heavy, ticket(99, "light")))
        assertEquals(1, order.indexOfFirst { it.id == 99L })
    }

    @Test
    fun `accounts take turns in proportion to their shares`() {
        val tickets = List(30) { ticket(it.toLong(), "three", share = 3) } + List(30) { ticket(100L + it, "one") }
        val first = order(queueOf(*tickets.toTypedArray())).take(20)
        assertEquals(15, first.count { it.account.value == "three" })
    }

    /** Guards against an account that fills the queue and so shuts the others out. */
    @Test
    fun `a full queue drops the newest routine request of the heaviest account`() {
        val full = queueOf(ticket(1, "heavy"), ticket(2, "heavy"), ticket(3, "heavy"))
        val light = assertIs<Offer.Waiting>(full.offer(ticket(4, "light"), 3, 0.0, nowMillis = 0))
        assertEquals(3, light.displaced?.id)
        assertEquals(3, light.queue.size)
        assertIs<Offer.Full>(full.offer(ticket(5, "heavy"), 3, 0.0, nowMillis = 0))
        val urgent = assertIs<Offer.Waiting>(full.offer(urgent(6, "heavy"), 3, 0.0, nowMillis = 0))
        assertEquals(3, urgent.displaced?.id)
    }

    /** Guards against a caller that waits for its whole timeout although its turn can't come in time. */
    @Test
    fun `a request whose turn comes after its deadline is refused at once`() {
        val queue = queueOf(*Array(10) { ticket(it.toLong(), "heavy") })
        val late = ticket(20, "heavy", deadlineMillis = 500)
        assertIs<Offer.TooLate>(queue.offer(late, maxSize = 100, slotMillis = 100.0, nowMillis = 0))
        assertIs<Offer.Waiting>(queue.offer(late.copy(account = AccountName("light")), 100, 100.0, nowMillis = 0))
        assertIs<Offer.Waiting>(queue.offer(late.copy(urgent = true), 100, 100.0, nowMillis = 0))
    }

    @Test
    fun `requests past their deadline are never taken`() {
        val taken = queueOf(ticket(1, "a", deadlineMillis = 10), ticket(2, "a")).take(nowMillis = 10)
        assertEquals(2, taken.ticket?.id)
        assertEquals(listOf(1L), taken.expired.map { it.id })
        assertNull(taken.queue.take(10).ticket)
        assertNull(taken.queue.remove(AccountName("a"), 2))
    }
}
