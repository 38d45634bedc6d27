package org.auburnlever.workload.planning

import org.auburnlever.model.AccountName
import org.auburnlever.workload.Workload
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.step
import org.junit.jupiter.api.Tag
import kotlin.test.Test
import kotlin.test.assertEquals

/** Plans urgent jobs within a guarantee on a fleet that routine work fills. */
class ReclaimTest {
    private val workload = Workload(nowMillis = 100_000).withCatalog()

    private fun plan(workers: Int, guaranteedAccelerators: Int): WorkPlan {
        val reports = List(workers) { report("${it + 1}") }
        val views = reports.map { WorkerView(it.ref, it, lastContactMillis = workload.nowMillis) }
        val guarantees = mapOf(AccountName("pier") to guaranteedAccelerators)
        val input = PlanningInput(workload.state.jobs.values, views, guarantees = guarantees)
        return planWork(input, workload.nowMillis)
    }

    private fun oneTask(accelerators: Int, millis: Long): StepSpec =
        step(tasks = 1, accelerators).copy(estimatedMillis = millis)

    private fun runRoutine(job: String, worker: String, accelerators: Int = 8) {
        workload.submit("routine", job, oneTask(accelerators, millis = 60_000))
        workload.assign(job, run = 1, workers = mapOf(0 to worker))
    }

    private fun run(job: String) = TaskRun(TaskId(job, 0, 0, 0), 1)

    /** Guards against a guarantee that is missed because a later job with an earlier objective takes the freed room. */
    @Test
    fun `room that was freed for a job within its guarantee is not given to a later one with an earlier objective`() {
        runRoutine("a", worker = "1")
        runRoutine("b", worker = "2")
        workload.nowMillis += 1_000
        workload.submit("urgent", "first", oneTask(accelerators = 8, millis = 8_000))
        workload.nowMillis += 800
        val freed = plan(workers = 2, guaranteedAccelerators = 16).preempted.single()

        workload.nowMillis += 900
        workload.end(freed.task.job, index = 0, run = 1, kind = EndKind.STOPPED)
        workload.submit("urgent", "second", oneTask(accelerators = 8, millis = 3_000))
        val plan = plan(workers = 2, guaranteedAccelerators = 16)
        assertEquals(listOf("first"), plan.assignments.map { it.step.job })
    }

    /** Guards against a guarantee that is missed because a second stop waits until the first has ended. */
    @Test
    fun `jobs within their guarantee that need what several stops free together get all of these stops at once`() {
        runRoutine("a", worker = "1", accelerators = 4)
        runRoutine("b", worker = "1", accelerators = 4)
        workload.nowMillis += 1_000
        workload.submit("urgent", "first", oneTask(accelerators = 2, millis = 3_000))
        workload.submit("urgent", "second", oneTask(accelerators = 6, millis = 8_000))
        workload.nowMillis += 900
        assertEquals(setOf(run("a"), run("b")), plan(workers = 1, guaranteedAccelerators = 8).preempted.toSet())
    }

    /** Guards against a guarantee that is missed because small urgent tasks are spread over all workers. */
    @Test
    @Tag("known-red")
    fun `small urgent jobs leave a whole worker to a larger one within the same guarantee`() {
        val workers = 1..4
        workers.forEach { runRoutine("small-$it", worker = "$it", accelerators = 1) }
        workload.nowMillis += 3_000
        workers.forEach { runRoutine("large-$it", worker = "$it", accelerators = 7) }
        workload.nowMillis += 1_000
        workers.forEach { workload.submit("urgent", "urgent-$it", oneTask(accelerators = 1, millis = 8_000)) }
        workload.nowMillis += 900
        val stops = plan(workers = 4, guaranteedAccelerators = 12).preempted
        stops.forEach { workload.end(it.task.job, index = 0, run = 1, kind = EndKind.STOPPED) }
        for (placed in plan(workers = 4, guaranteedAccelerators = 12).assignments) {
            workload.assign(placed.step.job, placed.run, placed.workers.mapValues { it.value.id })
        }

        workload.submit("urgent", "whole", oneTask(accelerators = 8, millis = 8_000))
        workload.nowMillis += 900
        val preemptedFor = plan(workers = 4, guaranteedAccelerators = 12).preemptedFor
        assertEquals(setOf("whole"), preemptedFor.values.map { it.job }.toSet())
    }
}
