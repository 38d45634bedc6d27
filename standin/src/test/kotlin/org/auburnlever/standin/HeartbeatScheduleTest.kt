package org.auburnlever.standin

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HeartbeatScheduleTest {
    private val sent = HeartbeatSchedule().sent(nowMillis = 5_000)

    @Test
    fun `a heartbeat is due each second even while an answer is held, because its connection may be silent`() {
        assertFalse(sent.isDue(5_999))
        assertTrue(sent.isDue(6_000))
    }

    @Test
    fun `news are sent without waiting for a held answer`() {
        assertTrue(sent.wanted().isDue(5_001))
    }

    @Test
    fun `a failed heartbeat is repeated soon but not in a tight loop`() {
        val failed = sent.answered(5_010, succeeded = false)
        assertFalse(failed.isDue(5_109))
        assertTrue(failed.isDue(5_110))
    }

    @Test
    fun `unanswered heartbeats do not pile up`() {
        val three = sent.sent(6_000).sent(7_000)
        assertFalse(three.isDue(9_000))
        assertTrue(three.answered(9_000, succeeded = true).isDue(9_000))
    }
}
