package org.auburnlever.ledger

import org.auburnlever.model.Shape
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class LeaderTest {
    private val simulation = LedgerSimulation(bundle(1, account("joal-salt")), racks = 1, perRack = 2)
    private val worker = simulation.workers[0]

    /** Guards against a log that grows with every heartbeat, also with outdated and invalid ones. */
    @Test
    fun `unchanged, outdated and invalid heartbeats propose nothing`() {
        simulation.advance(1_000)
        simulation.submit("joal-salt", JobSpec(SERVICE, Shape(2, 8), estimatedSeconds = 60))
        simulation.advance(4_000)
        val old = worker.heartbeat()
        val unchanged = worker.heartbeat()
        val step = handleHeartbeat(simulation.state, simulation.leader, unchanged, simulation.nowMillis)
        assertEquals(emptyList(), step.commands)
        val outdated = old.copy(rack = simulation.state.workers.values.last().rack, draining = true)
        assertEquals(
            emptyList(),
            handleHeartbeat(simulation.state, step.leader, outdated, simulation.nowMillis).commands,
        )
        val invalid = unchanged.copy(sequence = unchanged.sequence + 1, acceleratorCount = 65)
        assertEquals(
            emptyList(),
            handleHeartbeat(simulation.state, step.leader, invalid, simulation.nowMillis).commands,
        )
    }

    /** Guards against a new leader that declares workers lost before their next heartbeats can reach it. */
    @Test
    fun `a new leader waits one lease before it declares workers lost`() {
        simulation.advance(1_000)
        simulation.nowMillis += 60_000
        simulation.changeLeader()
        simulation.nowMillis += 11_999
        assertEquals(emptyList(), simulation.tick().filterIsInstance<LedgerCommand.WorkerLost>())
        simulation.nowMillis += 1
        assertEquals(2, simulation.tick().filterIsInstance<LedgerCommand.WorkerLost>().size)
    }

    /** Guards against a scheduler that appends to the log while nothing changes. */
    @Test
    fun `a waiting queue proposes nothing while the ledger stays the same`() {
        simulation.advance(1_000)
        repeat(8) { simulation.submit("joal-salt", JobSpec(SERVICE, Shape(1, 8), estimatedSeconds = 600), 600_000) }
        simulation.advance(15_000)
        val before = simulation.state.lastIndex
        simulation.advance(5_000)
        assertEquals(before, simulation.state.lastIndex)
    }

    /** Guards against sizes that overflow the sums over a gang. */
    @Test
    fun `shapes with sizes out of range are refused`() {
        val invalidShapes = listOf(
            Shape(0, 1),
            Shape(1_025, 1),
            Shape(1, Int.MAX_VALUE),
            Shape(1, 1, coresPerTask = -1),
            Shape(2, 1, memoryMiBPerTask = Long.MAX_VALUE),
        )
        invalidShapes.forEach { shape ->
            val key = RequestKey(account("joal-salt").name, "${BASE_MILLIS / 1_000}-x")
            val submit = LedgerCommand.SubmitJob("j", key, "d", JobSpec(SERVICE, shape, estimatedSeconds = 1))
            assertIs<Outcome.Refused>(assertIs<LedgerReply.Rejected>(simulation.apply(submit)).refusal, "$shape")
        }
    }
}
