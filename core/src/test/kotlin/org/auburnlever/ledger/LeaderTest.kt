package org.auburnlever.ledger

import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import org.auburnlever.world.Shape
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class LeaderTest {
    private val session = Session(bundle(1, account("joal-salt")), racks = 1, perRack = 2)
    private val worker = session.workers[0]

    /** Guards against a log that grows with every heartbeat. */
    @Test
    fun `heartbeats without news and old heartbeats propose nothing`() {
        session.pass(1_000)
        session.submit("joal-salt", JobSpec(SERVICE, Shape(2, 8), estimatedSeconds = 60))
        session.pass(4_000)
        val old = worker.heartbeat()
        val news = worker.heartbeat()
        val step = heartbeat(session.state, session.leader, news, session.nowMillis)
        assertEquals(emptyList(), step.commands)
        val restarted = old.copy(rack = session.state.workers.values.last().rack, draining = true)
        assertEquals(emptyList(), heartbeat(session.state, step.leader, restarted, session.nowMillis).commands)
        val foreign = news.copy(sequence = news.sequence + 1, acceleratorCount = 65)
        assertEquals(emptyList(), heartbeat(session.state, step.leader, foreign, session.nowMillis).commands)
    }

    /** Guards against a new leader that declares every worker lost before it can have heard from them. */
    @Test
    fun `a new leader waits one lease before it declares workers lost`() {
        session.pass(1_000)
        session.nowMillis += 60_000
        session.changeLeader()
        session.nowMillis += 11_999
        assertEquals(emptyList(), session.tick().filterIsInstance<LedgerCommand.WorkerLost>())
        session.nowMillis += 1
        assertEquals(2, session.tick().filterIsInstance<LedgerCommand.WorkerLost>().size)
    }

    /** Guards against a scheduler that fills the log while nothing happens. */
    @Test
    fun `a waiting queue proposes nothing while the ledger stays the same`() {
        session.pass(1_000)
        repeat(8) { session.submit("joal-salt", JobSpec(SERVICE, Shape(1, 8), estimatedSeconds = 600), 600_000) }
        session.pass(15_000)
        val before = session.state.lastIndex
        session.pass(5_000)
        assertEquals(before, session.state.lastIndex)
    }

    /** Guards against sizes that overflow sums over a gang. */
    @Test
    fun `absurd sizes are refused`() {
        val absurd = listOf(
            Shape(0, 1),
            Shape(1_025, 1),
            Shape(1, Int.MAX_VALUE),
            Shape(1, 1, coresPerTask = -1),
            Shape(2, 1, memoryMiBPerTask = Long.MAX_VALUE),
        )
        absurd.forEach { shape ->
            val key = RequestKey(account("joal-salt").name, "${BASE_MILLIS / 1_000}-x")
            val submit = LedgerCommand.SubmitJob("j", key, "d", JobSpec(SERVICE, shape, estimatedSeconds = 1))
            assertIs<Outcome.Refused>(assertIs<LedgerReply.Rejected>(session.apply(submit)).refusal, "$shape")
        }
    }
}
