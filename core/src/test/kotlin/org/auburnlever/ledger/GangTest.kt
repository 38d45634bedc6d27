package org.auburnlever.ledger

import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import org.auburnlever.world.Shape
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GangTest {
    private val gang = Shape(taskCount = 4, acceleratorsPerTask = 4)

    /** Guards against a gang that loses results or never ends. */
    @Test
    fun `a gang runs whole and ends with the results of all tasks`() {
        val session = Session(bundle(1, account("dakar-glass")))
        session.pass(1_000)
        val job = session.submit("dakar-glass", JobSpec(SERVICE, gang, estimatedSeconds = 5), runMillis = 5_000)
        session.pass(4_000)
        assertEquals(JobPhase.RUNNING, session.phase(job))
        session.pass(6_000)
        val view = session.state.view(session.state.jobs.all.getValue(job))
        assertEquals(listOf("r0", "r1", "r2", "r3"), view.results)
        assertIs<Outcome.Completed>(session.outcome(job))
        assertEquals(48, session.state.summary().acceleratorsFree)
    }
}
