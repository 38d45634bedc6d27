package org.auburnlever.standin

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HeartbeatScheduleTest {
    private val sent = HeartbeatSchedule().recordSent(nowMillis = 5_000)

    @Test
    fun `a heartbeat is due each second even while an answer is held, because its connection may have gone silent`() {
        assertFalse(sent.isDue(5_999))
        assertTrue(sent.isDue(6_000))
    }

    @Test
    fun `a change is sent without waiting for a held answer`() {
        assertTrue(sent.requestImmediate().isDue(5_001))
    }

    @Test
    fun `a failed heartbeat is repeated after 100 ms and not in a tight loop`() {
        val failed = sent.recordResult(5_010, succeeded = false)
        assertFalse(failed.isDue(5_109))
        assertTrue(failed.isDue(5_110))
    }

    @Test
    fun `at most three heartbeats are unanswered at the same time`() {
        val threeUnanswered = sent.recordSent(6_000).recordSent(7_000)
        assertFalse(threeUnanswered.isDue(9_000))
        assertTrue(threeUnanswered.recordResult(9_000, succeeded = true).isDue(9_000))
    }
}
