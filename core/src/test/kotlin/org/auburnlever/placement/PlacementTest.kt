package org.auburnlever.placement

import org.auburnlever.ledger.LedgerSimulation
import org.auburnlever.ledger.SERVICE
import org.auburnlever.ledger.TaskPlacement
import org.auburnlever.ledger.account
import org.auburnlever.ledger.bundle
import org.auburnlever.ledger.summary
import org.auburnlever.model.Shape
import org.auburnlever.model.Spread
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import kotlin.test.Test
import kotlin.test.assertEquals

class PlacementTest {
    private val session =
        LedgerSimulation(bundle(1, account("joal-salt"), account("dakar-glass")), racks = 2, perRack = 2)

    private fun submit(shape: Shape, seconds: Long = 600, account: String = "joal-salt"): String =
        session.submit(account, JobSpec(SERVICE, shape, seconds), runMillis = seconds * 1_000)

    private fun placed(vararg shapes: Shape): List<List<TaskPlacement>> {
        val jobs = shapes.map { shape -> submit(shape).also { session.advance(1_000) } }
        return jobs.map { job -> session.state.jobs.all.getValue(job).tasks.map { it.placement } }
    }

    /** Guards against small jobs that fragment contiguous accelerators which large jobs need. */
    @Test
    fun `small jobs fill a partly used worker before they use another`() {
        val tasks = placed(Shape(1, 3), Shape(1, 2), Shape(1, 3), Shape(4, 0)).flatten()
        assertEquals(1, tasks.filter { it.accelerators.isNotEmpty() }.map { it.worker }.distinct().size)
        assertEquals(3, session.state.summary().wholeFreeWorkers)
    }

    /** Guards against gangs that are spread wider than their shape allows, or than necessary. */
    @Test
    fun `gangs stay within their spread and on few neighbouring workers`() {
        val gangs = placed(Shape(2, 4, spread = Spread.WORKER), Shape(2, 8), Shape(2, 4, spread = Spread.DOMAIN))
        val racks = gangs.map { gang -> gang.map { session.state.workers.getValue(it.worker).rack }.distinct().size }
        assertEquals(listOf(1, 1, 1), racks)
        assertEquals(listOf(1, 2, 1), gangs.map { gang -> gang.map { it.worker }.distinct().size })
    }

    /** Guards against a large gang that waits forever while small jobs take every accelerator that becomes free. */
    @Test
    fun `only jobs that end in time are backfilled before a waiting gang`() {
        session.advance(1_000)
        submit(Shape(3, 8, spread = Spread.DOMAIN), seconds = 100)
        session.advance(3_000)
        val large = submit(Shape(4, 8, spread = Spread.DOMAIN), seconds = 10)
        session.advance(1_000)
        val long = submit(Shape(1, 8), seconds = 1_000)
        val short = submit(Shape(1, 8), seconds = 60)
        session.advance(3_000)
        val phases = listOf(large, long, short).map { session.phase(it) }
        assertEquals(listOf(JobPhase.QUEUED, JobPhase.QUEUED, JobPhase.RUNNING), phases)
        session.advance(105_000)
        assertEquals(listOf(JobPhase.RUNNING, JobPhase.QUEUED), listOf(large, long).map { session.phase(it) })
    }

    /** Guards against one account that gets the whole domain because it submits first. */
    @Test
    fun `accounts of equal share get equal parts of a busy domain`() {
        session.advance(1_000)
        repeat(8) { submit(Shape(1, 8)) }
        repeat(8) { submit(Shape(1, 8), account = "dakar-glass") }
        session.advance(1_000)
        assertEquals(setOf(16), session.state.accounts.values.map { it.heldAccelerators }.toSet())
    }
}
