package org.auburnlever.workload.holds

import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

internal class WaitingReportTest : CoordinatorHarness() {
    /** Searches the log for the job, as an operator does. */
    private fun found(event: String): List<DecisionLogEntry> =
        logEntries.filter { it.event == event && JOB in "${it.id} ${it.details}" }

    /** Guards against a job that stands still on an idle fleet without a line that tells why. */
    @Test
    fun `the log names rule, owner and end of what is kept from a job, by its id`() {
        answer(startJob(), OrderAnswer.Refused(RefusalReason.UNHEALTHY))
        val suspension = "SUSPENDED_WORKER by 1 until "
        repeat(12) { tick() }

        val held = found("job_held").single()
        assertEquals("$JOB.0.0", held.details["step"])
        assertTrue(suspension in "${held.details["holds"]}", "$held")
        assertNotNull(held.details["untilMillis"])
        assertEquals(8, coordinator.waitingFigures.heldAccelerators[HoldRule.SUSPENDED_WORKER])
        assertEquals(1, coordinator.waitingFigures.waitingSteps[WaitingKind.ROOM_KEPT])
        assertTrue(found("waiting").any { it.id == "ROOM_KEPT" && suspension in "${it.details["holds"]}" })
    }

    @Test
    fun `a new leader explains waiting jobs before its first plan`() {
        answer(startJob(), OrderAnswer.Refused(RefusalReason.UNHEALTHY))
        logEntries.clear()
        electLeader()
        repeat(2) { tick(limits.reportMillis / 2, confirmedAgoMillis = 2_000) }

        assertEquals("NOT_PLANNED", found("waiting").single().id)
    }
}
