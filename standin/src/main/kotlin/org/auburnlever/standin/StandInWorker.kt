package org.auburnlever.standin

import com.linecorp.armeria.common.AggregatedHttpResponse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.Paths
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.WorkerHeartbeat
import java.util.concurrent.TimeUnit

/** State of a stand-in worker, as its control server returns it. */
@Serializable
data class WorkerView(
    val worker: String,
    val rack: String,
    val behaviour: WorkerBehaviour,
    val leaseLeftMillis: Long?,
    val heartbeatsAnswered: Long,
    val tasks: List<TaskReport>,
)

/**
 * Runs one worker: lets time pass in its state, sends heartbeats and applies their answers.
 *
 * All functions run on the single worker thread of the process, so the state needs no lock. [record] receives every
 * change of a task's status.
 */
internal class StandInWorker(
    settings: WorkerSettings,
    private val client: EntryClient,
    private val record: (TaskEvent) -> Unit,
) {
    private var state = WorkerState(settings, epochMillis = System.currentTimeMillis())
    private var schedule = HeartbeatSchedule()
    private var answeredCount = 0L

    /** Runs until [scope] is cancelled; heartbeats run in it as coroutines of their own. */
    suspend fun run(scope: CoroutineScope) {
        while (scope.isActive) {
            applyStep(WorkerStateMachine.tick(state, monotonicMillis()))
            if (!state.behaviour.silent && schedule.isDue(monotonicMillis())) scope.launch { sendHeartbeat() }
            delay(TICK_MILLIS)
        }
    }

    /** Sends one heartbeat and applies its answer. */
    suspend fun sendHeartbeat() {
        val sentAt = monotonicMillis()
        val (next, heartbeat) = state.nextHeartbeat(sentAt)
        state = next
        schedule = schedule.recordSent(sentAt)
        val json = Codec.json.encodeToString(WorkerHeartbeat.serializer(), heartbeat)
        val reply = client.post(Paths.WORKER_HEARTBEAT, json)?.heartbeatReply()
        schedule = schedule.recordResult(monotonicMillis(), succeeded = reply != null)
        if (reply != null) {
            answeredCount++
            state = state.copy(deltaEncoder = state.deltaEncoder.withReply(heartbeat.sequence, reply))
            if (reply.completeWanted) schedule = schedule.requestImmediate()
            applyStep(
                WorkerStateMachine.applyAnswer(
                    state,
                    HeartbeatAnswer(reply, heartbeat.sequence, sentAt),
                    monotonicMillis(),
                ),
            )
        }
    }

    /** Replaces the behaviour; a change of draining is reported without delay. */
    fun setBehaviour(behaviour: WorkerBehaviour) {
        if (behaviour.draining != state.behaviour.draining) schedule = schedule.requestImmediate()
        state = state.copy(behaviour = behaviour)
    }

    /** Sets draining and stops all tasks, as a worker does when it shuts down; the next heartbeat reports both. */
    fun shutDown() {
        setBehaviour(state.behaviour.copy(draining = true))
        applyStep(WorkerStateMachine.stopAll(state, "worker is shutting down"))
    }

    /** Returns the current state. */
    fun view(): WorkerView {
        val now = monotonicMillis()
        return WorkerView(
            worker = state.settings.name,
            rack = state.settings.rack,
            behaviour = state.behaviour,
            leaseLeftMillis = state.leaseEndsMillis?.minus(now)?.takeIf { it > 0 },
            heartbeatsAnswered = answeredCount,
            tasks = state.reports(now),
        )
    }

    private fun applyStep(step: WorkerStep) {
        if (step.state.statuses() != state.statuses()) schedule = schedule.requestImmediate()
        state = step.state
        step.changes.forEach { record(it.toEvent()) }
    }

    private fun TaskChange.toEvent() = TaskEvent(
        atMillis = System.currentTimeMillis(),
        worker = state.settings.name,
        jobId = task.order.jobId,
        taskIndex = task.order.taskIndex,
        token = task.order.token,
        status = task.status,
        accelerators = task.order.accelerators,
        reason = reason,
    )

    private companion object {
        const val TICK_MILLIS = 10L
    }
}

private fun AggregatedHttpResponse.heartbeatReply(): HeartbeatReply? =
    try {
        Codec.json.decodeFromString(HeartbeatReply.serializer(), contentUtf8())
    } catch (_: SerializationException) {
        null
    }

private fun monotonicMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
