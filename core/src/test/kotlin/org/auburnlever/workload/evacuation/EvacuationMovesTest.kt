package org.auburnlever.workload.evacuation

import org.auburnlever.workload.Workload
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.step
import kotlin.test.Test
import kotlin.test.assertEquals

/** Replays a loaded fleet of which the worker `0` is evacuated, and checks which of its work moves, in what order. */
internal class EvacuationMovesTest {
    private val workload = Workload(nowMillis = 10_000).withCatalog()
    private val long = step(tasks = 1).copy(estimatedMillis = 20_000)
    private val saving = long.copy(checkpointing = true)

    private fun runOn(job: String, spec: StepSpec, vararg workers: String) {
        workload.submit("routine", job, spec)
        workload.assign(job, 1, workers.withIndex().associate { (index, worker) -> index to worker })
    }

    /** Returns the jobs that move at [nowMillis] while [others] are the workers outside the domain. */
    private fun moved(
        nowMillis: Long,
        others: List<WorkerView> = listOf(view("1")),
        progress: Map<TaskRun, RunProgress> = emptyMap(),
        stopping: Set<TaskRun> = emptySet(),
    ): List<String> {
        val jobs = workload.state.jobs.values
        val input = PlanningInput(jobs, others, stopping = stopping, progress = progress)
        return EvacuationMoves(input, planWork(input, nowMillis), setOf("0"), nowMillis).find()
            .map { it.runs.first().task.job }
    }

    private fun view(id: String, rack: String = "r1") =
        WorkerView(ref(id), report(id, rack), lastContactMillis = 10_000)

    /** Guards against moves that throw away work, or interrupt users, while cheaper ones are possible. */
    @Test
    fun `tasks with checkpoints move first, then long-running ones, then those that start again`() {
        runOn("repeated", long, "0")
        runOn("lasting", step(tasks = 1).copy(longRunning = true), "0")
        runOn("saving", saving, "0")
        assertEquals(listOf("saving", "lasting", "repeated"), moved(nowMillis = 17_000))
    }

    /** Guards against a stop of work that would have ended before it starts again elsewhere. */
    @Test
    fun `work that ends soon or has done more than it has left stays`() {
        runOn("soon", saving.copy(estimatedMillis = 9_000), "0")
        runOn("advanced", long, "0")
        assertEquals(emptyList(), moved(nowMillis = 20_500))
        // A run that is reported to be slow has more left than its declared duration says.
        val slow = mapOf(TaskRun(TaskId("soon", 0, 0, 0), 1) to RunProgress(percent = 30, reportedMillis = 20_500))
        assertEquals(listOf("soon"), moved(nowMillis = 20_500, progress = slow))
    }

    /** Guards against moved work that waits because the room elsewhere is missing, or is needed by waiting work. */
    @Test
    fun `nothing moves without room that no waiting work needs`() {
        runOn("saving", saving.copy(need = saving.need.copy(accelerators = 4)), "0")
        runOn("other", long.copy(need = long.need.copy(accelerators = 8)), "1")
        assertEquals(emptyList(), moved(nowMillis = 12_000))
        val roomy = listOf(view("1"), view("2"))
        assertEquals(listOf("saving"), moved(nowMillis = 12_000, roomy))
        workload.submit("routine", "waiting", step(tasks = 9, accelerators = 1))
        assertEquals(emptyList(), moved(nowMillis = 12_000, roomy))
    }

    /** Guards against two tasks of one service that are away at the same time. */
    @Test
    fun `long-running tasks of a step move one at a time, once the others are at work`() {
        runOn("lasting", step(tasks = 3).copy(longRunning = true), "0", "0", "1")
        assertEquals(emptyList(), moved(nowMillis = 12_000))
        assertEquals(listOf("lasting"), moved(nowMillis = 17_000))
        val stopping = setOf(TaskRun(TaskId("lasting", 0, 0, 0), 1))
        assertEquals(emptyList(), moved(nowMillis = 17_000, stopping = stopping))
    }

    /** Guards against a gang that loses one member, and against one that loses its only fast rack. */
    @Test
    fun `a gang moves as a whole and only to a rack that holds it`() {
        val gang = saving.copy(taskCount = 2, gang = true, rackSensitive = true)
            .let { it.copy(need = it.need.copy(accelerators = 8)) }
        runOn("gang", gang, "0", "1")
        val spread = listOf(view("1", rack = "r1"), view("2", rack = "r2"))
        assertEquals(emptyList(), moved(nowMillis = 12_000, spread))
        assertEquals(listOf("gang"), moved(nowMillis = 12_000, spread + view("3", rack = "r2")))
        val onRack = saving.copy(dataRack = "r9")
        runOn("data", onRack, "0")
        assertEquals(listOf("gang"), moved(nowMillis = 12_000, spread + view("3", rack = "r2")))
    }

    /** Guards against a burst of stops whose work then waits for the same room. */
    @Test
    fun `few moves are under way at the same time`() {
        repeat(12) { runOn("saving-$it", saving, "0") }
        val stopping = (0 until 3).map { TaskRun(TaskId("saving-$it", 0, 0, 0), 1) }.toSet()
        assertEquals(5, moved(nowMillis = 12_000, listOf(view("1"), view("2")), stopping = stopping).size)
    }
}
