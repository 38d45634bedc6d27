package org.auburnlever.workload.evacuation

import org.auburnlever.codec.Codec
import org.auburnlever.model.DomainName
import org.auburnlever.workload.CoordinatorEffect
import org.auburnlever.workload.CoordinatorHarness
import org.auburnlever.workload.ProposalTag
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.ActiveRun
import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskPhase
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that no task starts in an evacuated failure domain, whatever happens to the leader. */
internal class EvacuationTest : CoordinatorHarness() {
    private val domainA = DomainName("a")
    private val domainB = DomainName("b")
    private var sequence = 1L
    private var nextJob = 1

    private fun evacuate(domain: DomainName) = workload.apply(WorkloadCommand.Evacuate(domain))

    private fun end(domain: DomainName) = workload.apply(WorkloadCommand.EndEvacuation(domain))

    /** Lets the workers `a` and `b` report, each in the failure domain of its name. */
    private fun report() {
        sequence++
        listOf(domainA, domainB).forEach { domain ->
            val report = report(domain.value, sequence = sequence).copy(failureDomain = domain)
            deliver(report)
        }
    }

    private fun submit(spec: StepSpec = step(tasks = 1)): String =
        "%016x".format(nextJob++).also { workload.submit("routine", it, spec) }

    /** Lets [seconds] pass in which the workers report and list their runs, which work at the declared speed. */
    private fun pass(seconds: Int) = repeat(seconds) {
        report()
        tick(afterMillis = 1_000)
        val polls = orders.filterIsInstance<WorkerOrder.Poll>()
        orders -= polls.toSet()
        polls.forEach { poll ->
            val assigned = workload.state.jobs.values.flatMap { it.assigned() }
            val active = assigned.filter { (_, task) -> task.worker == poll.worker }.map { (id, task) ->
                val percent = (workload.nowMillis - task.assignedMillis) * 100 / 2_000
                ActiveRun(TaskRun(id, task.run), "", minOf(percent.toInt(), 99))
            }
            answer(poll, OrderAnswer.Listed(100_000 + workload.nowMillis, 1, active, emptyList()))
        }
    }

    /** Lets the workers report, submits a job of [spec], plans, and returns the workers that got its starts. */
    private fun startedOn(spec: StepSpec = step(tasks = 2, accelerators = 8)): List<String> {
        report()
        submit(spec)
        pass(seconds = 1)
        return orders.filterIsInstance<WorkerOrder.Start>().map { it.worker.id }.sorted().also { orders.clear() }
    }

    /** Plans without applying the proposal and returns it. */
    private fun plan(): CoordinatorEffect.Propose {
        workload.nowMillis += 1_000
        return coordinator.tick(workload.state, workload.nowMillis, workload.nowMillis)
            .filterIsInstance<CoordinatorEffect.Propose>().single { it.tag == ProposalTag.Assign }
    }

    private fun apply(proposed: CoordinatorEffect.Propose, confirmedAgoMillis: Long = 0) {
        val reply = workload.apply(proposed.command)
        val confirmedMillis = workload.nowMillis - confirmedAgoMillis
        run(coordinator.onApplied(workload.state, proposed.tag, reply, confirmedMillis, workload.nowMillis))
    }

    private fun starts() = orders.filterIsInstance<WorkerOrder.Start>()

    /** Guards against a resent order that is refused, or that counts as a new evacuation. */
    @Test
    fun `a resent order is acknowledged and keeps the start of the evacuation`() {
        val reply = evacuate(domainA)
        workload.nowMillis += 700
        assertEquals(reply, evacuate(domainA))
        assertEquals(mapOf(domainA to 10_000L), workload.state.evacuations.toMap())
        assertEquals(reply, end(domainA))
        assertEquals(reply, end(domainA))
        assertEquals(emptyMap(), workload.state.evacuations.toMap())
    }

    /** Guards against an evacuation that a snapshot loses, and against unreadable snapshots of earlier versions. */
    @Test
    fun `evacuations survive a snapshot, and a snapshot without them is read`() {
        evacuate(domainA)
        evacuate(domainB)
        end(domainB)
        assertEquals(workload.state, Codec.decode<WorkloadState>(Codec.encode(workload.state)))
        val text = """{"nowMillis":5}"""
        assertEquals(WorkloadState(nowMillis = 5), Codec.json.decodeFromString(WorkloadState.serializer(), text))
    }

    /** Guards against workers that get tasks because they report as usual during the evacuation. */
    @Test
    fun `no task starts in an evacuated domain whose workers report, until the evacuation ends`() {
        assertEquals(listOf("a", "b"), startedOn())
        workload.state.jobs.keys.forEach { cancelled(it) }
        evacuate(domainA)
        repeat(8) { assertTrue("a" !in startedOn(step(tasks = 1))) }
        end(domainA)
        pass(seconds = 20)
        assertTrue("a" in startedOn(step(tasks = 12)))
    }

    private fun cancelled(id: String) = listOf(0, 1).forEach {
        workload.end(id, it, run = 1, EndKind.DONE)
    }

    /** Guards against a start that a plan made before the order and that is sent after it. */
    @Test
    fun `an assigned start that was not sent is withheld, and its task is placed elsewhere`() {
        report()
        val id = submit()
        val planned = plan()
        val worker = (planned.command as WorkloadCommand.Assign).assignments.single().workers.getValue(0).id
        evacuate(DomainName(worker))
        apply(planned)
        assertEquals(emptyList(), starts())
        assertEquals(TaskPhase.WAITING, workload.job(id).task(orderedTask(id))?.phase)
        report()
        tick(afterMillis = 1_000)
        assertEquals(listOf(if (worker == "a") "b" else "a"), starts().map { it.worker.id })
    }

    private fun orderedTask(id: String) = TaskId(id, 0, 0, 0)

    /** Guards against members of a gang that hold their workers while the others must not start. */
    @Test
    fun `a gang with a member in the evacuated domain is withheld as a whole`() {
        report()
        val id = submit(step(tasks = 2, accelerators = 8, gang = true))
        val planned = plan()
        evacuate(domainB)
        apply(planned)
        assertEquals(emptyList(), starts())
        assertTrue(workload.job(id).assigned().isEmpty())
    }

    /** Guards against an order that covers only the newest domain, and against a withdrawal that ends both. */
    @Test
    fun `two domains are evacuated at once and end apart`() {
        evacuate(domainA)
        evacuate(domainB)
        assertEquals(emptyList(), startedOn())
        end(domainB)
        pass(seconds = 20)
        assertEquals(listOf("b"), starts().map { it.worker.id })
    }

    /**
     * Guards against a leader that was cut off while the others committed the evacuation: it starts nothing on the
     * assignment that it learns of late, and the next leader places the task elsewhere.
     */
    @Test
    fun `during a partition neither the old nor the new leader starts a task in the domain`() {
        report()
        submit(step(tasks = 2, accelerators = 8))
        val planned = plan()
        workload.apply(planned.command)
        evacuate(domainA)
        val cutOff = coordinator
        workload.nowMillis += 4_000
        val stale = cutOff.onApplied(
            workload.state,
            planned.tag,
            WorkloadReply.Assigned(
                workload.state.jobs.values.flatMap { it.assigned() }
                    .map { (id, task) -> TaskRun(id, task.run) },
            ),
            workload.nowMillis - 4_000,
            workload.nowMillis,
        )
        assertEquals(emptyList(), stale.filterIsInstance<CoordinatorEffect.Order>())
        electLeader()
        repeat(8) { assertTrue("a" !in startedOn(step(tasks = 1))) }
    }

    /** Guards against a rolling update of the control hosts, each of which restores the state and then leads. */
    @Test
    fun `every new leader of a rolling update keeps the evacuation`() {
        evacuate(domainA)
        repeat(6) {
            workload.restore(Codec.decode(Codec.encode(workload.state)))
            electLeader()
            repeat(2) { assertTrue("a" !in startedOn(step(tasks = 1))) }
        }
        assertEquals(setOf(domainA), workload.state.evacuations.keys)
    }

    /** Guards against a leader that keeps an evacuation withdrawn under its predecessor, or forgets the warm-up. */
    @Test
    fun `after a withdrawal during a change of leader the workers return gradually`() {
        evacuate(domainA)
        evacuate(domainB)
        pass(seconds = 10)
        end(domainA)
        electLeader()
        pass(seconds = 1)
        assertEquals(listOf("a", "a"), startedOn(step(tasks = 16)))
        pass(seconds = 4)
        assertEquals(List(6) { "a" }, starts().map { it.worker.id })
    }
}
