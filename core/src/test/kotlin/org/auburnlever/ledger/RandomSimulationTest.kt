package org.auburnlever.ledger

import org.auburnlever.model.AccountName
import org.auburnlever.model.Shape
import org.auburnlever.model.Spread
import org.auburnlever.wire.JobPhase
import org.auburnlever.wire.JobSpec
import org.auburnlever.wire.Outcome
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Seeded random simulations with many kinds of faults at once; a failure names the seed that reproduces it. */
class RandomSimulationTest {
    /**
     * Guards against accelerators allocated twice, gangs of which only a part runs, second runs of non-repeatable jobs,
     * broken guarantees, refusals of work that ran, and jobs that never end. Invariants are checked after each command.
     */
    @Test
    fun `random simulations keep the invariants and end every job`() {
        val counts = sortedMapOf<String, Int>()
        repeat(SIMULATIONS) { seed ->
            try {
                RandomSimulation(seed).run().forEach { (kind, count) -> counts.merge(kind, count, Int::plus) }
            } catch (failure: AssertionError) {
                throw AssertionError("seed $seed: ${failure.message}", failure)
            } catch (failure: IllegalStateException) {
                throw AssertionError("seed $seed: ${failure.message}", failure)
            }
        }
        val rare = REQUIRED_EVENTS.filter { (counts[it] ?: 0) < SIMULATIONS / 10 }
        assertEquals(emptyList(), rare, "events that too few simulations reached, of $counts")
    }

    private companion object {
        const val SIMULATIONS = 320

        /** Events that must be frequent enough; without them the simulations would pass without testing anything. */
        val REQUIRED_EVENTS = listOf(
            "RESERVING claim",
            "RESERVING backfilled",
            "RESERVING urgent,",
            "STOPPING makes",
            "QUEUED worker",
            "WORKER_SUSPENDED",
            "WORKER_RESUMED",
            "at risk true",
            "ignored Place",
            "ended completed",
            "ended failed",
            "ended refused",
            "ended unknown",
        )
    }
}

private class RandomSimulation(seed: Int) {
    private val random = Random(seed)
    private val accounts = arrayOf(
        account("dakar-glass", quota = 40, Shape(2, 8), Shape(1, 4)),
        account("joal-salt", quota = 24),
        account("saint-louis-nets", Int.MAX_VALUE, Shape(4, 2, coresPerTask = 16)),
    )
    private val simulation = LedgerSimulation(bundle(1, *accounts), racks = 2, perRack = random.nextInt(2, 5))
    private val jobs = mutableListOf<String>()
    private val schedules = mutableListOf<LedgerCommand>()

    fun run(): Map<String, Int> {
        simulation.advance(1_000)
        simulation.delayProposals = { random.nextInt(4) == 0 }
        repeat(EVENTS) { randomEvent() }
        endFaults()
        val open = jobs.filter { simulation.phase(it) != null && simulation.phase(it) != JobPhase.DONE }
        assertEquals(emptyList(), open.map { simulation.state.job(it) }, "jobs that never ended")
        jobs.mapNotNull { simulation.state.job(it) }.forEach { checkEnd(it) }
        return simulation.eventCounts
    }

    private fun randomEvent() {
        val kind = random.nextInt(20)
        if (kind < 8) callerEvent(kind) else faultEvent(kind)
        simulation.advance(500L * random.nextInt(1, 5)) { random.nextInt(10) == 0 }
        schedules += simulation.tick().filterIsInstance<LedgerCommand.Schedule>()
    }

    private fun callerEvent(kind: Int) {
        when (kind) {
            0 -> jobs.randomOrNull(random)?.let { cancel(it) }
            1 -> if (random.nextInt(8) == 0) jobs.shuffled(random).take(jobs.size / 2).forEach { cancel(it) }
            else -> submit()
        }
    }

    private fun faultEvent(kind: Int) {
        val worker = simulation.workers.random(random)
        when (kind) {
            8 -> worker.online = !worker.online
            9 -> if (random.nextInt(6) == 0) disconnectHalf()
            10 -> worker.failsStarts = random.nextInt(3) == 0
            11 -> if (random.nextInt(2) == 0) worker.restart() else worker.draining = !worker.draining
            12 -> simulation.workers.forEach { it.online = true }
            else -> leaderEvent(kind)
        }
    }

    private fun leaderEvent(kind: Int) {
        when (kind) {
            13 -> simulation.sentHeartbeats.randomOrNull(random)?.let { simulation.receiveHeartbeat(it) }
            14 -> if (random.nextInt(4) == 0) simulation.changeLeader()
            15 -> schedules.randomOrNull(random)?.let { simulation.apply(it) }
        }
    }

    private fun disconnectHalf() =
        simulation.workers.filter { it.name.value.hashCode() % 2 == 0 }.forEach { it.online = false }

    private fun submit() {
        val shape = Shape(
            taskCount = random.nextInt(1, 5),
            acceleratorsPerTask = random.nextInt(0, 9),
            coresPerTask = random.nextInt(1, 17),
            spread = Spread.entries.random(random),
        )
        val guaranteed = accounts.flatMap { it.guarantees }.random(random).shape
        val spec = JobSpec(
            service = SERVICE,
            shape = if (random.nextInt(4) == 0) guaranteed else shape,
            estimatedSeconds = random.nextLong(1, 100),
            urgent = random.nextInt(4) == 0,
            repeatable = random.nextInt(3) > 0,
            checkpointable = random.nextBoolean(),
            payload = "p".repeat(random.nextInt(9)),
        )
        jobs += simulation.submit(accounts.random(random).name.value, spec, runMillis = random.nextLong(100, 60_000))
    }

    private fun cancel(jobId: String) {
        val account = simulation.state.job(jobId)?.account ?: AccountName("nobody")
        simulation.apply(LedgerCommand.CancelJob(jobId, account))
    }

    private fun endFaults() {
        simulation.delayProposals = { false }
        simulation.applyPending()
        simulation.workers.forEach {
            it.online = true
            it.failsStarts = false
            it.draining = false
        }
        repeat(RECOVERY_ROUNDS) {
            val open = simulation.state.jobs.queued.size + simulation.state.jobs.active.size
            if (open > 0) simulation.advance(10_000)
        }
    }

    private fun checkEnd(job: JobRecord) {
        val starts = simulation.startCounts.filterKeys { it.jobId == job.jobId }
        if (job.outcome is Outcome.Refused) assertEquals(emptyMap(), starts, "${job.jobId} was refused but started")
        if (job.outcome is Outcome.Completed) assertTrue(job.tasks.all { it.result != null }, "a result is missing")
        if (!job.spec.repeatable) {
            assertTrue(starts.values.all { it == 1 }, "non-repeatable ${job.jobId} started $starts")
        }
    }

    private companion object {
        const val EVENTS = 200
        const val RECOVERY_ROUNDS = 600
    }
}
