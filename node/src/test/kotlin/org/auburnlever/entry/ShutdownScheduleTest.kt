package org.auburnlever.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class ShutdownScheduleTest {
    private val schedule = ShutdownSchedule(refuseAtMillis = 2_500, endAtMillis = 5_000, closeAtMillis = 5_500)

    /** Returns each phase with the time of its begin, while [inProgress] tells how many requests there are. */
    private fun phases(inProgress: (nowMillis: Long) -> Int): List<Pair<Long, ShutdownPhase>> =
        generateSequence(0L to ShutdownPhase.LEAVING) { (now, phase) ->
            val next = now + STEP_MILLIS
            (next to schedule.next(phase, next, inProgress(next))).takeIf { phase != ShutdownPhase.CLOSING }
        }.distinctBy { it.second }.toList()

    /** Guards against requests in flight that are cut by a server that waits for a pause or for a fixed time. */
    @Test
    fun `the server closes once no request is in progress`() {
        val leaving = 0L to ShutdownPhase.LEAVING
        val refusing = 2_500L to ShutdownPhase.REFUSING
        assertEquals(listOf(leaving, refusing, 2_520L to ShutdownPhase.CLOSING), phases { 0 })
        assertEquals(listOf(leaving, refusing, 4_000L to ShutdownPhase.CLOSING), phases { if (it < 4_000) 3 else 0 })
    }

    /** Guards against a SIGKILL while requests are in progress that could have been answered. */
    @Test
    fun `requests that do not end are ended before the host is killed`() {
        val last = listOf(5_000L to ShutdownPhase.ENDING, 5_500L to ShutdownPhase.CLOSING)
        assertEquals(last, phases { 1 }.takeLast(2))
        val answered = listOf(5_000L to ShutdownPhase.ENDING, 5_020L to ShutdownPhase.CLOSING)
        assertEquals(answered, phases { if (it <= 5_000) 1 else 0 }.takeLast(2))
    }

    /** Guards against a job that is handed on after its caller was told that it never runs. */
    @Test
    fun `a request that has been ended is not handed on`() {
        val request = RequestInProgress()
        assertEquals(RequestProgress.ENDED, request.endEarly())
        assertFalse(request.handOn())
        assertFalse(RequestInProgress(mayBeHandedOn = { false }).handOn())
        val passedOn = RequestInProgress().apply { handOn() }
        assertEquals(RequestProgress.HANDED_ON, passedOn.endEarly())
    }

    private companion object {
        const val STEP_MILLIS = 20L
    }
}
