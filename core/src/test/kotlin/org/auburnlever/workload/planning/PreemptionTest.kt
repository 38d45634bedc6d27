package org.auburnlever.workload.planning

import org.auburnlever.model.AccountName
import org.auburnlever.workload.Workload
import org.auburnlever.workload.address
import org.auburnlever.workload.catalog
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Account
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.apply
import org.auburnlever.workload.state.assign
import org.auburnlever.workload.step
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays bursts of urgent jobs onto a full fleet. */
class PreemptionTest {
    private val workload = Workload(nowMillis = 100_000).withCatalog()
    private val workers = listOf(report("1"), report("2"))
    private val pier = AccountName("pier")

    private fun plan(
        guaranteedAccelerators: Int = 0,
        progress: Map<TaskRun, RunProgress> = emptyMap(),
        reports: List<WorkerReport> = workers,
    ): WorkPlan {
        val views = reports.map { WorkerView(it.ref, it, lastContactMillis = workload.nowMillis) }
        val guarantees = mapOf(pier to guaranteedAccelerators)
        val input = PlanningInput(workload.state.jobs.values, views, progress = progress, guarantees = guarantees)
        return planWork(input, workload.nowMillis)
    }

    private fun longStep(accelerators: Int = 8, checkpointing: Boolean = false, millis: Long = 20_000) =
        step(tasks = 1, accelerators = accelerators).copy(estimatedMillis = millis, checkpointing = checkpointing)

    private fun run(job: String, index: Int = 0, run: Int = 1) = TaskRun(TaskId(job, 0, 0, index), run)

    /** Guards against a job that is stopped again and again because its newest run is always the cheapest. */
    @Test
    fun `a step that was preempted before is not stopped again while another one has lost nothing yet`() {
        workload.submit("routine", "a", longStep())
        workload.submit("routine", "b", longStep())
        workload.assign("a", run = 4, workers = mapOf(0 to "1"))
        workload.nowMillis -= 2_000
        workload.assign("b", run = 1, workers = mapOf(0 to "2"))
        workload.nowMillis += 2_000
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8))

        assertEquals(listOf(run("b")), plan().preempted)
    }

    /** Guards against throwing away work although a stop of other work, which saves its progress, loses none. */
    @Test
    fun `work that saves its progress is stopped before younger work that does not`() {
        workload.submit("routine", "saving", longStep(checkpointing = true))
        workload.submit("routine", "other", longStep())
        workload.assign("saving", run = 1, workers = mapOf(0 to "1"))
        workload.nowMillis += 4_000
        workload.assign("other", run = 1, workers = mapOf(0 to "2"))
        workload.nowMillis += 1_000
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8))

        assertEquals(listOf(run("saving")), plan().preempted)
    }

    /** Guards against work that is stopped shortly before its end for an urgent job that could have waited for it. */
    @Test
    fun `an urgent job waits for work that ends in time by itself, and keeps that room`() {
        workload.submit("routine", "a", longStep())
        workload.submit("routine", "b", longStep())
        workload.assign("a", run = 1, workers = mapOf(0 to "1"))
        workload.assign("b", run = 1, workers = mapOf(0 to "2"))
        workload.nowMillis += 9_650
        val progress = mapOf(
            run("a") to RunProgress(percent = 95, reportedMillis = workload.nowMillis),
            run("b") to RunProgress(percent = 40, reportedMillis = workload.nowMillis),
        )
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8))
        workload.submit("routine", "next", step(tasks = 1, accelerators = 8))
        assertTrue(plan(progress = progress).preempted.isEmpty())

        workload.end("a", index = 0, run = 1, kind = EndKind.DONE)
        assertEquals(listOf("now"), plan(progress = progress).assignments.map { it.step.job })
    }

    /** Guards against throwing away work for an urgent job that will be late all the same. */
    @Test
    fun `nothing is stopped for an urgent job that can't meet its objective any more`() {
        workload.submit("routine", "a", longStep())
        workload.assign("a", run = 1, workers = mapOf(0 to "1"))
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8))
        workload.nowMillis += 3_500

        assertTrue(plan(reports = workers.take(1)).preempted.isEmpty())
    }

    /** Guards against a small urgent job that throws away hours of a large gang. */
    @Test
    fun `no more than eight times its own work is thrown away for an urgent job`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val workload = Workload(nowMillis = 100_000).withCatalog()
            repeat(12) { job ->
                val gang = random.nextBoolean()
                val tasks = random.nextInt(1, 5)
                val spec = step(tasks, accelerators = random.nextInt(1, 5), gang = gang)
                    .copy(estimatedMillis = random.nextLong(8_000, 60_000), checkpointing = random.nextInt(3) == 0)
                workload.submit("routine", "r$job", spec)
                workload.assign("r$job", run = 1, workers = (0 until tasks).associateWith { "${random.nextInt(6)}" })
                workload.nowMillis += random.nextLong(3_000)
            }
            repeat(4) { job ->
                workload.submit("urgent", "u$job", step(tasks = random.nextInt(1, 4), random.nextInt(1, 9)))
            }
            val views = List(6) { WorkerView(ref("$it"), report("$it"), lastContactMillis = workload.nowMillis) }
            val plan = planWork(PlanningInput(workload.state.jobs.values, views), workload.nowMillis)

            plan.preemptedFor.entries.groupBy({ it.value }, { it.key }).forEach { (step, runs) ->
                val own = workload.job(step.job).spec.steps.first()
                val ownWork = own.taskCount * own.reserved.weightMilliCores * own.estimatedMillis
                val lost = runs.sumOf { run ->
                    val victim = workload.job(run.task.job).spec.steps.first()
                    val task = workload.job(run.task.job).task(run.task)!!
                    val millis = if (victim.checkpointing) 0 else workload.nowMillis - task.assignedMillis
                    millis * victim.reserved.weightMilliCores
                }
                assertTrue(lost <= 8 * ownWork, "seed $seed: $lost lost for $step, which needs $ownWork")
            }
        }
    }

    /** Guards against an account that loses its guarantee to another account's urgent jobs that came first. */
    @Test
    fun `a job within its guarantee takes back what urgent jobs beyond a guarantee use`() {
        workload.apply(
            WorkloadCommand.ChangeCatalog(
                catalog(version = 2).let { catalog ->
                    val other = Account(AccountName("other"), listOf("key-2"), guaranteedAccelerators = 0)
                    catalog.copy(accounts = catalog.accounts + other)
                },
                "two accounts",
            ),
        )
        val command = WorkloadCommand.AcceptJob(address("urgent", "first", "key-2"), JobSpec("", listOf(longStep())))
        workload.apply(command)
        workload.assign("first", run = 1, workers = mapOf(0 to "1"))
        workload.nowMillis += 1_000
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8))

        assertTrue(plan(guaranteedAccelerators = 0, reports = workers.take(1)).preempted.isEmpty())
        assertEquals(
            listOf(run("first")),
            plan(guaranteedAccelerators = 8, reports = workers.take(1)).preempted,
        )
    }

    /** Guards against a guarantee that is not honoured because too much other work would be lost. */
    @Test
    fun `the bound on lost work does not hold where a guarantee could not be honoured otherwise`() {
        workload.submit("routine", "old", longStep(millis = 90_000))
        workload.assign("old", run = 1, workers = mapOf(0 to "1"))
        workload.nowMillis += 60_000
        workload.submit("urgent", "now", step(tasks = 1, accelerators = 8))
        assertTrue(plan(guaranteedAccelerators = 8, reports = workers.take(1)).preempted.isEmpty())

        workload.nowMillis += 900
        assertEquals(listOf(run("old")), plan(guaranteedAccelerators = 8, reports = workers.take(1)).preempted)
    }

    /** Guards against a guaranteed job that waits behind a burst of another account's urgent jobs. */
    @Test
    fun `a job within its guarantee starts before urgent jobs beyond it that came first`() {
        workload.submit("urgent", "large", step(tasks = 2, accelerators = 8))
        workload.nowMillis += 100
        workload.submit("urgent", "small", step(tasks = 1, accelerators = 8))

        val assignments = plan(guaranteedAccelerators = 8, reports = workers.take(1)).assignments
        assertEquals(listOf("small"), assignments.map { it.step.job })
    }

    /** Guards against a guaranteed gang that waits for one rack until its time is over. */
    @Test
    fun `a rack-sensitive gang within its guarantee is spread over racks before its time is over`() {
        val reports = listOf(report("1", "r1"), report("2", "r1"), report("3", "r2"), report("4", "r2"))
        workload.submit("urgent", "a", longStep())
        workload.submit("urgent", "b", longStep())
        workload.assign("a", run = 1, workers = mapOf(0 to "1"))
        workload.assign("b", run = 1, workers = mapOf(0 to "3"))
        val gang = step(tasks = 2, accelerators = 8, gang = true, rackSensitive = true)
        workload.nowMillis += 10_000
        workload.submit("urgent", "c", gang.copy(estimatedMillis = 8_000))
        assertTrue(plan(guaranteedAccelerators = 32, reports = reports).assignments.isEmpty())

        workload.nowMillis += 1_500
        assertEquals(2, plan(guaranteedAccelerators = 32, reports = reports).assignments.single().workers.size)
    }

    /** Guards against occurrences of a scheduled job that count as late because it was accepted long ago. */
    @Test
    fun `the objective of a scheduled occurrence counts from its due time`() {
        val once = JobSpec("", listOf(step(tasks = 1)))
        val spec = once.copy(repetitions = 3, firstRunMillis = 110_000, intervalMillis = 60_000)
        workload.apply(WorkloadCommand.AcceptJob(address("routine", "timed"), spec))

        assertEquals(110_000 + 120_000 + 5_000, workload.job("timed").objectiveMillis(occurrence = 2))
    }

    private companion object {
        const val SEEDS = 200
    }
}
