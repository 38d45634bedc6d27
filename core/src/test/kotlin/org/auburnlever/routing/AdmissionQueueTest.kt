package org.auburnlever.routing

import org.auburnlever.model.AccountName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class AdmissionQueueTest {
    private fun request(
        id: Long,
        account: String,
        urgent: Boolean = false,
        share: Int = 1,
        deadlineMillis: Long = 1_000,
    ) = QueuedRequest(id, AccountName(account), share, urgent, deadlineMillis)

    private fun urgentRequest(id: Long, account: String) = request(id, account, urgent = true)

    private fun queueOf(vararg requests: QueuedRequest) = requests.fold(AdmissionQueue.EMPTY) { queue, request ->
        assertIs<OfferResult.Queued>(queue.offer(request, maxSize = 100, millisPerRequest = 0.0, nowMillis = 0)).queue
    }

    private fun takeAll(queue: AdmissionQueue): List<QueuedRequest> =
        generateSequence(queue.take(0)) { it.queue.take(0) }.map { it.request }.takeWhile { it != null }
            .filterNotNull()
            .toList()

    @Test
    fun `urgent requests are served before routine ones`() {
        val queue = queueOf(request(1, "a"), urgentRequest(2, "a"), request(3, "b"), urgentRequest(4, "b"))
        assertEquals(listOf(2L, 4L, 1L, 3L), takeAll(queue).map { it.id })
    }

    /** Guards against a light account that has to wait for the whole backlog of a heavy one. */
    @Test
    fun `a light account is served after one request of a heavy one`() {
        val heavy = Array(50) { request(it.toLong(), "heavy") }
        val order = takeAll(queueOf(*heavy, request(99, "light")))
        assertEquals(1, order.indexOfFirst { it.id == 99L })
    }

    @Test
    fun `accounts are served in proportion to their shares`() {
        val requests = List(30) { request(it.toLong(), "three", share = 3) } + List(30) { request(100L + it, "one") }
        val first = takeAll(queueOf(*requests.toTypedArray())).take(20)
        assertEquals(15, first.count { it.account.value == "three" })
    }

    /** Guards against an account that fills the queue and locks the others out. */
    @Test
    fun `a full queue displaces the newest routine request of the account with the most`() {
        val full = queueOf(request(1, "heavy"), request(2, "heavy"), request(3, "heavy"))
        val light = assertIs<OfferResult.Queued>(full.offer(request(4, "light"), 3, 0.0, nowMillis = 0))
        assertEquals(3, light.displaced?.id)
        assertEquals(3, light.queue.size)
        assertIs<OfferResult.Full>(full.offer(request(5, "heavy"), 3, 0.0, nowMillis = 0))
        val urgent = assertIs<OfferResult.Queued>(full.offer(urgentRequest(6, "heavy"), 3, 0.0, nowMillis = 0))
        assertEquals(3, urgent.displaced?.id)
    }

    /** Guards against a caller that waits for its whole timeout although its request can't be served in time. */
    @Test
    fun `a request that would be served after its deadline is refused at once`() {
        val queue = queueOf(*Array(10) { request(it.toLong(), "heavy") })
        val late = request(20, "heavy", deadlineMillis = 500)
        assertIs<OfferResult.TooLate>(queue.offer(late, maxSize = 100, millisPerRequest = 100.0, nowMillis = 0))
        assertIs<OfferResult.Queued>(queue.offer(late.copy(account = AccountName("light")), 100, 100.0, nowMillis = 0))
        assertIs<OfferResult.Queued>(queue.offer(late.copy(urgent = true), 100, 100.0, nowMillis = 0))
    }

    @Test
    fun `requests past their deadline are removed and never served`() {
        val taken = queueOf(request(1, "a", deadlineMillis = 10), request(2, "a")).take(nowMillis = 10)
        assertEquals(2, taken.request?.id)
        assertEquals(listOf(1L), taken.expired.map { it.id })
        assertNull(taken.queue.take(10).request)
        assertNull(taken.queue.remove(AccountName("a"), 2))
    }
}
