package org.auburnlever.workload

import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.answer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that a task that crashes each worker that starts it is given up, and that no other task is. */
internal class CrashingTaskTest : CoordinatorHarness() {
    private fun job(number: Int) = "%016x".format(number)

    private fun isDeadly(task: TaskId) = task == TaskId(JOB, 0, 0, 0)

    private fun CrashingFleet.play(millis: Long) = repeat((millis / 100).toInt()) { index ->
        advance(workload.nowMillis)
        if (index % 10 == 0) reports(workload.nowMillis).forEach { deliver(it) }
        tick()
        orders.toList().also { orders.clear() }.forEach { answer(it, carryOut(it, workload.nowMillis)) }
    }

    /** Plays jobs of which one task crashes each worker that starts it, beside a steady stream of other jobs. */
    private fun playStream(fleet: CrashingFleet, deadly: StepSpec, newLeaderEachMillis: Long? = null) {
        fleet.play(2_000)
        repeat(40) { index ->
            workload.submit("routine", job(index), step(tasks = 4))
            if (index == 4) workload.submit("urgent", JOB, deadly)
            fleet.play(1_000)
            if (newLeaderEachMillis != null && (index * 1_000L) % newLeaderEachMillis == 0L) electLeader()
        }
        fleet.play(20_000)
    }

    private fun assertOnlyDeadlyJobFailed(fleet: CrashingFleet) {
        val count = fleet.starts.count { (run, _) -> isDeadly(run.task) }
        assertTrue(count in 2..5, "three crashes and two more starts are allowed, but it started $count times")
        assertEquals(JobPhase.FAILED, workload.job(JOB).phase)
        val others = workload.state.jobs.values.filter { it.id != JOB }
        assertEquals(emptyList(), others.filter { it.phase != JobPhase.SUCCEEDED }.map { it.id to it.phase })
    }

    /** Guards against one task that crashes worker after worker, with all that runs there (BUDGET). */
    @Test
    fun `a task that crashes its workers is given up and the tasks beside it are not`() {
        val fleet = CrashingFleet(size = 6, keepsIds = false, ::isDeadly)
        playStream(fleet, step(tasks = 1))

        assertOnlyDeadlyJobFailed(fleet)
    }

    /** Guards against the same where a crashed worker comes back under its id. */
    @Test
    fun `a task that crashes workers which restart under their id is given up`() {
        val fleet = CrashingFleet(size = 6, keepsIds = true, ::isDeadly)
        playStream(fleet, step(tasks = 3))

        assertOnlyDeadlyJobFailed(fleet)
    }

    /** Guards against crashes that a new leader does not count since it never saw the worker. */
    @Test
    fun `crashes count across changes of the leader`() {
        val fleet = CrashingFleet(size = 6, keepsIds = false, ::isDeadly)
        playStream(fleet, step(tasks = 1), newLeaderEachMillis = 4_000)

        assertOnlyDeadlyJobFailed(fleet)
    }

    /** Guards against a gang that restarts for ever since one of its members crashes its worker. */
    @Test
    fun `a gang with a member that crashes its workers is given up`() {
        val fleet = CrashingFleet(size = 6, keepsIds = false, ::isDeadly)
        playStream(fleet, step(tasks = 3, gang = true))

        assertOnlyDeadlyJobFailed(fleet)
    }

    /** Guards against a wait for an idle worker that never ends in a busy fleet. */
    @Test
    fun `a task that crashes its workers is given up although no worker is idle`() {
        val fleet = CrashingFleet(size = 2, keepsIds = false, ::isDeadly)
        playStream(fleet, step(tasks = 1))

        assertOnlyDeadlyJobFailed(fleet)
    }
}
