package org.auburnlever.placement

import org.auburnlever.codec.Codec
import org.auburnlever.configuration.ClientAccount
import org.auburnlever.ledger.DecisionKind
import org.auburnlever.ledger.FakeWorker
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerSimulation
import org.auburnlever.ledger.SERVICE
import org.auburnlever.ledger.ScheduleAction
import org.auburnlever.ledger.account
import org.auburnlever.ledger.bundle
import org.auburnlever.ledger.explain
import org.auburnlever.ledger.summary
import org.auburnlever.model.AccountName
import org.auburnlever.model.Shape
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GuaranteeTest {
    private val guaranteed = Shape(2, 8)
    private val whole = Shape(1, 8)

    private fun session(vararg accounts: ClientAccount, perRack: Int = 2): LedgerSimulation {
        val session = LedgerSimulation(bundle(1, *accounts), racks = 1, perRack = perRack)
        session.advance(1_000)
        return session
    }

    private fun spec(shape: Shape, urgent: Boolean = false) =
        JobSpec(SERVICE, shape, estimatedSeconds = 600, urgent = urgent, checkpointable = true)

    /** Guards against a guaranteed shape whose accelerators borrowed work does not release in time. */
    @Test
    fun `a claim preempts borrowed work within 4,4 s`() {
        val session = session(account("dakar-glass", 8, guaranteed), account("joal-salt"))
        val borrowed = List(2) { session.submit("joal-salt", spec(whole), 600_000) }
        session.advance(5_000)
        assertEquals(0, session.state.summary().acceleratorsFree)
        val claim = session.submit("dakar-glass", spec(guaranteed), 600_000)
        assertEquals(null, session.phase(claim), "16 accelerators are over the quota of 8")
        session.bundle = bundle(2, account("dakar-glass", 16, guaranteed), account("joal-salt"))
        session.advance(500)
        val again = session.submit("dakar-glass", spec(guaranteed), 600_000)
        session.advance(4_000)
        assertEquals(JobPhase.RUNNING, session.phase(again))
        assertEquals(borrowed.toSet(), session.state.explain("job", again).displaced.toSet())
        assertEquals(again, session.state.explain("job", borrowed[0]).displacedFor)
    }

    /** Guards against guaranteed work that another claim or urgent work preempts. */
    @Test
    fun `guaranteed work is never preempted`() {
        val session = session(account("dakar-glass", Int.MAX_VALUE, guaranteed), account("joal-salt"))
        val claim = session.submit("dakar-glass", spec(guaranteed), 600_000)
        session.advance(4_000)
        val urgent = session.submit("joal-salt", spec(whole, urgent = true))
        val second = session.submit("dakar-glass", spec(guaranteed, urgent = true))
        session.advance(5_000)
        assertEquals(JobPhase.RUNNING, session.phase(claim))
        assertEquals(listOf(JobPhase.QUEUED, JobPhase.QUEUED), listOf(session.phase(urgent), session.phase(second)))
    }

    /** Guards against claims that wait forever when more arrive at once than one plan serves. */
    @Test
    fun `a burst of claims is served in full`() {
        val session = session(account("dakar-glass", 1, *Array(20) { Shape(1, 1) }), account("joal-salt"), perRack = 3)
        repeat(3) { session.submit("joal-salt", spec(whole), 600_000) }
        session.advance(5_000)
        val claims = List(20) { session.submit("dakar-glass", spec(Shape(1, 1)), 600_000) }
        session.advance(8_000)
        assertEquals(List(20) { JobPhase.RUNNING }, claims.map { session.phase(it) })
    }

    /** Guards against a stale plan that places one claim on accelerators planned for another guarantee. */
    @Test
    fun `a claim can't be placed where another guarantee is planned`() {
        val session = session(account("dakar-glass", Int.MAX_VALUE, whole), account("joal-salt", Int.MAX_VALUE, whole))
        val claim = session.submit("dakar-glass", spec(whole))
        val (own, other) = session.state.guarantees.entries.entries.sortedBy { it.key.account.value }
        val stale = ScheduleAction.Place(claim, checkNotNull(other.value.placement), own.key, "stale")
        session.apply(LedgerCommand.Schedule(listOf(stale)))
        assertEquals(JobPhase.QUEUED, session.phase(claim))
        session.tick()
        assertEquals(JobPhase.RESERVING, session.phase(claim))
    }

    /** Guards against preempting the job that would lose the most work. */
    @Test
    fun `urgent work preempts the routine job with the newest checkpoint`() {
        val session = session(account("joal-salt"))
        val routine = List(2) { session.submit("joal-salt", spec(whole), 600_000) }
        session.advance(60_000)
        val reports = session.leader.workers.mapValues { (_, seen) ->
            val old = seen.reports.map { if (it.jobId == routine[0]) it.copy(checkpointAgeMillis = 50_000) else it }
            seen.copy(reports = old)
        }
        session.leader = reports.entries.fold(session.leader) { leader, (name, seen) ->
            leader.copy(workers = leader.workers.put(name, seen))
        }
        val urgent = session.submit("joal-salt", spec(whole, urgent = true))
        session.tick()
        assertEquals(JobPhase.RUNNING, session.phase(routine[0]))
        assertEquals(JobPhase.STOPPING, session.phase(routine[1]))
        session.advance(3_500)
        assertEquals(JobPhase.RUNNING, session.phase(urgent))
    }

    /** Guards against a guarantee at risk that is not reported, or is not planned again when capacity returns. */
    @Test
    fun `a guarantee without a placement is reported, and planned again when capacity returns`() {
        val session = session(account("dakar-glass", Int.MAX_VALUE, guaranteed))
        session.workers[1].online = false
        session.advance(13_000)
        assertEquals(AccountName("dakar-glass"), session.state.summary().guaranteesAtRisk.single().account)
        val last = session.state.explain("account", "dakar-glass").decisions.last()
        assertEquals(DecisionKind.GUARANTEE_AT_RISK, last.kind)
        session.workers[1].online = true
        session.advance(1_000)
        assertEquals(emptyList(), session.state.summary().guaranteesAtRisk)
    }

    /** Guards against bundles that promise more than the workers have. */
    @Test
    fun `a check of a bundle names the resource that is too small`() {
        val workers = session(account("dakar-glass")).state.workers.values
        fun check(vararg shapes: Shape) =
            checkGuarantees(bundle(1, account("dakar-glass", Int.MAX_VALUE, *shapes)), FakeWorker.DOMAIN, workers)
        assertEquals(GuaranteeCheck.Fits, check(guaranteed))
        val exceeded = assertIs<GuaranteeCheck.SumExceeds>(check(guaranteed, Shape(1, 1)))
        assertEquals(listOf<Any>("accelerators", 17L, 16L), exceeded.run { listOf(resource, needed, available) })
        assertIs<GuaranteeCheck.NoBlock>(check(Shape(3, 5)))
        assertEquals("cores", assertIs<GuaranteeCheck.SumExceeds>(check(Shape(2, 1, coresPerTask = 129))).resource)
    }

    /** Guards against state that a snapshot changes, and against explanations that JSON can't represent. */
    @Test
    fun `state survives a snapshot and explanations are JSON`() {
        val session = session(account("dakar-glass", Int.MAX_VALUE, guaranteed), account("joal-salt"))
        val jobs = List(3) { session.submit("joal-salt", spec(whole), 600_000) }
        session.advance(4_000)
        assertEquals(session.state, Codec.decode(Codec.encode(session.state)))
        val waiting = jobs.first { session.phase(it) == JobPhase.QUEUED }
        val explained = Codec.json.encodeToString(session.state.explain("job", waiting))
        assertContains(explained, "the next free block is reserved for it")
        assertContains(Codec.json.encodeToString(session.state.summary()), "\"acceleratorsTotal\":16")
        val name = session.workers[0].name.value
        assertContains(session.state.explain("worker", name).summary, "takes tasks, holds 1 tasks")
    }
}
