package org.auburnlever.workload.leaderless

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays callers that arrive while there is no leader: each waits or returns as the decisions say. */
class CallerRushTest {
    private val urgent = { n: Int -> WaitingCall(objectiveMillis = 4_250, workMillis = 2_500, id = id(n)) }
    private val gang = { n: Int -> WaitingCall(objectiveMillis = 21_600, workMillis = 6_800, id = id(n)) }

    private fun id(n: Int) = "/queue/%016x".format(n * 7_919L)

    /** Returns when the call, made at [arrivalMillis], reaches the leader of [leaderMillis]; null if it gives up. */
    private fun served(
        call: WaitingCall,
        arrivalMillis: Long,
        leaderMillis: Long,
        prospect: (leaderlessMillis: Long) -> LeaderProspect,
    ): Long? {
        var startMillis = arrivalMillis
        val answers = List(CLIENT_ATTEMPTS) {
            val answeredMillis = (startMillis..startMillis + CLIENT_WAIT_MILLIS step STEP_MILLIS).first { now ->
                now >= leaderMillis || now - startMillis >= minOf(CLIENT_WAIT_MILLIS, call.waitMillis(prospect(now)))
            }
            startMillis = answeredMillis + call.retryAfterMillis(prospect(answeredMillis))
            answeredMillis
        }
        return answers.firstOrNull { it >= leaderMillis }
    }

    /** Guards against callers that are refused although they would have been served in time after the election. */
    @Test
    fun `callers of a usual election are served by the new leader without a refusal`() {
        (0L until 1_000 step 20).forEach { arrivalMillis ->
            listOf(urgent, gang).forEach { kind ->
                val servedMillis =
                    served(kind(arrivalMillis.toInt()), arrivalMillis, leaderMillis = 1_000, LeaderProspect::Electing)
                assertEquals(1_000, servedMillis)
            }
        }
    }

    /** Guards against clients that use up their attempts before the hosts are back, and against a second rush. */
    @Test
    fun `callers return after a power loss of all control hosts, and not in one second`() {
        val prospect = { nowMillis: Long ->
            if (nowMillis < 2_000) LeaderProspect.HostsMissing(nowMillis) else LeaderProspect.Electing(nowMillis)
        }
        val leaderMillis = 3_000L
        val calls = (0L until 2_000 step 20).flatMap { arrival ->
            listOf(urgent(arrival.toInt()) to arrival, gang(arrival.toInt() + 1) to arrival)
        }
        val served = calls.map { (call, arrival) -> call to served(call, arrival, leaderMillis, prospect) }
        assertTrue(served.none { it.second == null })
        val inFirstSecond = served.count { checkNotNull(it.second) < leaderMillis + 1_000 }
        assertTrue(inFirstSecond <= calls.size * 2 / 3, "$inFirstSecond of ${calls.size} came in the first second")
        val lateUrgent = served.filter { (call, at) -> call.workMillis == 2_500L && checkNotNull(at) > 6_000 }
        assertEquals(emptyList(), lateUrgent)
    }

    /** Guards against callers that are held for long without an attempt and then refused. */
    @Test
    fun `while hosts are missing no call is held for more than a quarter of its objective`() {
        listOf(urgent(1), gang(2)).forEach { call ->
            val heldMillis = call.waitMillis(LeaderProspect.HostsMissing(0))
            assertTrue(heldMillis <= checkNotNull(call.objectiveMillis) / 4)
            assertEquals(0, call.waitMillis(LeaderProspect.HostsMissing(1_500)))
        }
    }

    private companion object {
        const val CLIENT_ATTEMPTS = 4
        const val CLIENT_WAIT_MILLIS = 2_800L
        const val STEP_MILLIS = 20L
    }
}
