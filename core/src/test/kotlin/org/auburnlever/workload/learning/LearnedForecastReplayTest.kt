package org.auburnlever.workload.learning

import org.auburnlever.workload.Workload
import org.auburnlever.workload.catalog
import org.auburnlever.workload.planning.START_MILLIS
import org.auburnlever.workload.queue
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.step
import java.util.PriorityQueue
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToLong
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertTrue

/** Replays half a minute of the load of the two deployments in `docs/hard-load.md`. */
class LearnedForecastReplayTest {
    private class Kind(val perSecond: Double, val tasks: Int, val millis: Double, val off: Double, val gang: Boolean)

    private class Errors(val atMillis: Long, val learned: Double, val declared: Double)

    private class Day(val kinds: List<Kind>, val speeds: List<Double>, val tail: Double, seed: Int) {
        private val random = Random(seed)
        private val queues = kinds.indices.map { queue("queue$it", it) }
        private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
        val workload = Workload(nowMillis = 0).withCatalog(catalog(queues = queues))
        val errors = kinds.map { ArrayList<Errors>() }

        init {
            for ((index, kind) in kinds.withIndex()) {
                repeat((DAY_MILLIS / 1_000 * kind.perSecond).toInt()) {
                    events += random.nextLong(DAY_MILLIS) to { submit(index, kind, "%08x%08x".format(index, it)) }
                }
            }
            while (events.isNotEmpty()) events.poll().let { (atMillis, event) -> at(atMillis, event) }
        }

        private fun at(millis: Long, event: () -> Unit) {
            workload.nowMillis = millis
            event()
        }

        private fun submit(index: Int, kind: Kind, id: String) {
            val deviation = random.nextDouble(0.3, 0.5) * random.asJavaRandom().nextGaussian()
            val work = kind.millis * exp(deviation) * if (random.nextDouble() < tail) 7.0 else 1.0
            val declared = work * (1 + random.nextDouble(-kind.off, kind.off))
            val step = step(kind.tasks, gang = kind.gang).copy(estimatedMillis = maxOf(1, declared.roundToLong()))
            val workers = List(kind.tasks) { random.nextInt(WORKERS) }
            val real = if (kind.gang) work / workers.minOf { speeds[it % speeds.size] } else work
            workload.submit("queue$index", id, step)
            val forecast = LearnedForecast(workload.state.learned).taskMillis(workload.job(id), 0)
            errors[index] += Errors(workload.nowMillis, abs(ln(forecast / real)), abs(ln(declared / real)))
            workload.assign(id, run = 1, workers.indices.associateWith { "${workers[it]}" })
            workers.forEachIndexed { task, worker ->
                val millis = if (kind.gang) real else real / speeds[worker % speeds.size]
                val endMillis = workload.nowMillis + START_MILLIS + random.nextLong(-50, 50) + millis.toLong()
                events += endMillis to { workload.end(id, task, run = 1, kind = EndKind.DONE) }
            }
        }

        /** Returns the mean error of the speeds, relative to the geometric mean of the fleet. */
        fun speedError(): Double {
            val forecast = LearnedForecast(workload.state.learned)
            val mean = speeds.map { ln(it) }.average()
            val ratios = List(WORKERS) { forecast.speedPercent("$it") / 100.0 / speeds[it % speeds.size] }
            return ratios.map { abs(ln(it) + mean) }.average()
        }
    }

    /** Checks the forecasts of the second half of the day; the first steps of some queues end after about 10 s. */
    private fun verify(name: String, goodQueues: Set<Int>, play: (seed: Int) -> Day) {
        val days = List(SEEDS, play)
        days.first().kinds.indices.forEach { index ->
            val (early, late) = days.flatMap { it.errors[index] }.partition { it.atMillis < DAY_MILLIS / 2 }
            val learned = late.map { it.learned }.average()
            val declared = late.map { it.declared }.average()
            val earlyLearned = early.map { it.learned }.average()
            println("$name $index: %.3f, declared %.3f, at first %.3f".format(learned, declared, earlyLearned))
            assertTrue(learned <= if (index in goodQueues) declared + MAX_LOSS else declared * USELESS_PART)
        }
        println("$name: error of speeds %.3f".format(days.map { it.speedError() }.average()))
        days.forEach { assertTrue(it.speedError() < MAX_SPEED_ERROR) }
    }

    /** Guards against forecasts that follow useless declared durations, or that are worse than good ones. */
    @Test
    fun `in the first deployment, forecasts replace useless declared durations and are as good as good ones`() =
        verify("first", goodQueues = setOf(2)) { seed ->
            val urgent = Kind(6.61, 5, 2_500.0, off = 0.9, gang = false)
            val gang = Kind(1.55, 13, 6_800.0, off = 0.9, gang = true)
            val batch = Kind(1.52, 39, 6_100.0, off = 0.2, gang = false)
            Day(listOf(urgent, gang, batch), listOf(1.0, 1.0, 1.3), tail = 0.0, seed)
        }

    /** The same with a heavy tail, which must not move the forecasts of the other jobs. */
    @Test
    fun `in the second deployment, forecasts replace useless declared durations and are as good as good ones`() =
        verify("second", goodQueues = setOf(0, 1)) { seed ->
            val urgent = Kind(6.78, 5, 2_100.0, off = 0.5, gang = false)
            val gang = Kind(1.02, 13, 9_400.0, off = 0.2, gang = true)
            val batch = Kind(1.0, 39, 8_100.0, off = 0.9, gang = false)
            Day(listOf(urgent, gang, batch), listOf(0.8, 1.0, 1.25), tail = 0.03, seed)
        }

    private companion object {
        const val WORKERS = 246
        const val DAY_MILLIS = 30_000L
        const val SEEDS = 5
        const val MAX_SPEED_ERROR = 0.05

        /** Part of the error of useless declared durations that may be left. */
        const val USELESS_PART = 0.8

        /** Additional error where declared durations are good, from few samples and the mean speed of the fleet. */
        const val MAX_LOSS = 0.02
    }
}
