package org.auburnlever.workload

import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder
import org.auburnlever.workload.runs.WorkerReport
import kotlin.random.Random

/** What others than the workers and the leader do in a schedule. */
internal enum class OtherWriterFault {
    /** Reports in the name of a worker that name another incarnation or another address than its own. */
    REPORTS,

    /** Reports that name the worker's own incarnation and address, with other fields that are false. */
    REPORTS_OF_THE_INCARNATION,

    /** Announcements that a worker leaves which runs on. */
    DEPARTURES,

    /** One answer of another worker, followed by answers of the addressed one. */
    STRAY_ANSWERS,

    /** Refused connections to workers that run on. */
    REFUSED_CONNECTIONS,

    /** Lists without the incarnation, or of which the runs or the ends can't be read. */
    PARTIAL_LISTS,

    /** Leaders that are paused before, between and after their effects, and proposals that a later leader commits. */
    PAUSES,
}

/** Draws the faults of [kinds] in a schedule from an own [random], so that the other draws stay as they are. */
internal class OtherWriters(private val kinds: Set<OtherWriterFault>, val random: Random) {
    private val refusingUntilMillis = HashMap<String, Long>()
    private val strayMillis = HashMap<String, Long>()
    private val listedSinceStray = HashSet<String>()

    fun draws(kind: OtherWriterFault, percent: Int): Boolean = kind in kinds && random.nextInt(PERCENT) < percent

    /** Returns a report in the name of [worker], with the address of one of [workers], its own, or a vacant one. */
    fun falseReport(worker: SimulatedWorker, workers: List<SimulatedWorker>): WorkerReport? {
        val address = listOf(worker.address, workers.random(random).address, VACANT_ADDRESS).random(random)
        val offsetMillis = listOf(0, 1, -1, random.nextLong(MAX_OFFSET_MILLIS), -random.nextLong(MAX_OFFSET_MILLIS))
        val ref = worker.ref.copy(startMillis = worker.startMillis + offsetMillis.random(random), address = address)
        val kind = if (ref == worker.ref) OtherWriterFault.REPORTS_OF_THE_INCARNATION else OtherWriterFault.REPORTS
        if (kind !in kinds) return null
        val report = report(worker.id, worker.rack, draining = random.nextInt(4) == 0, sequence = random.nextLong(200))
        val clockMillis = if (random.nextBoolean()) HIGH_CLOCK_MILLIS else random.nextLong(MAX_OFFSET_MILLIS)
        return report.copy(ref = ref, clockMillis = clockMillis)
    }

    /** Lets the connections to [worker] be refused for a while. */
    fun refuse(worker: SimulatedWorker, nowMillis: Long) {
        refusingUntilMillis[worker.address] = nowMillis + random.nextLong(MAX_REFUSING_MILLIS)
    }

    /** Returns the answer that comes instead of that of [worker], which does not receive [order]; null if it does. */
    fun answerInstead(order: WorkerOrder, worker: SimulatedWorker, nowMillis: Long): OrderAnswer? {
        val refusing = nowMillis < (refusingUntilMillis[worker.address] ?: 0)
        val first = worker.id !in strayMillis || worker.id in listedSinceStray
        return when {
            refusing -> OrderAnswer.Unknown("refused", connectionRefused = true)
            order.worker.id == worker.id && first && draws(OtherWriterFault.STRAY_ANSWERS, STRAY_PERCENT) -> {
                strayMillis[worker.id] = nowMillis
                listedSinceStray -= worker.id
                OrderAnswer.OtherIncarnation
            }
            else -> null
        }
    }

    /** Returns the answer as it arrives: fields of a list may be missing. */
    fun received(answer: OrderAnswer): OrderAnswer = when {
        answer !is OrderAnswer.Listed || !draws(OtherWriterFault.PARTIAL_LISTS, PARTIAL_PERCENT) -> answer
        else -> when (random.nextInt(3)) {
            0 -> answer.copy(workerStartMillis = null)
            1 -> answer.copy(active = emptyList(), complete = false)
            else -> answer.copy(ended = emptyList(), complete = false)
        }
    }

    /** Takes note that [answer] to [order], which was sent at [sentMillis], has reached the leader. */
    fun delivered(order: WorkerOrder, answer: OrderAnswer, sentMillis: Long) {
        val stray = strayMillis[order.worker.id] ?: return
        if (answer is OrderAnswer.Listed && sentMillis > stray + MAX_ANSWER_MILLIS) listedSinceStray += order.worker.id
    }

    /** Returns for how long a leader is paused now; 0 if it is not. */
    fun pauseMillis(): Long = if (draws(OtherWriterFault.PAUSES, 1)) random.nextLong(MAX_PAUSE_MILLIS) else 0

    private companion object {
        const val PERCENT = 100
        const val VACANT_ADDRESS = "address-vacant"
        const val HIGH_CLOCK_MILLIS = 900_000_000L
        const val MAX_OFFSET_MILLIS = 100_000L
        const val MAX_REFUSING_MILLIS = 4_000L
        const val MAX_ANSWER_MILLIS = 2_000L

        /** Longer than the longest lease. */
        const val MAX_PAUSE_MILLIS = 14_000L
        const val STRAY_PERCENT = 2
        const val PARTIAL_PERCENT = 5
    }
}
