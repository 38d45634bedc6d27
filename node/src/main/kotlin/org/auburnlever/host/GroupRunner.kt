package org.auburnlever.host

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.consensus.ReplicaSettings
import org.auburnlever.consensus.ReplicaStep
import org.auburnlever.consensus.startReplica
import org.auburnlever.peer.GroupName
import org.auburnlever.storage.OpenedLog
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private val logger = KotlinLogging.logger {}

/** Functions of the host that a [GroupRunner] calls. */
internal interface GroupContext {
    /** Sends [message] without a guarantee of delivery. */
    fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage)

    /** Stops the host because of an error after which it can't keep its guarantees. */
    fun fail(message: String, cause: Throwable? = null)
}

/**
 * Runs this host's replica of one group.
 *
 * A single decision thread owns the replica and the state, and processes queued inputs in batches. Other threads read
 * [view] without locks.
 */
internal class GroupRunner<S, R>(
    val group: GroupName,
    opened: OpenedLog,
    initialMembership: Membership,
    stateMachine: StateMachine<S, R>,
    private val groupContext: GroupContext,
    private val clock: HostClock,
) {
    private val inbox = LinkedBlockingQueue<GroupInput<S, R>>()
    private val commandBytes = AtomicLong()
    private val driver =
        opened.startReplica(group, initialMembership, clock.nowMillis())
            .let { ReplicaDriver(group, opened.store, it, stateMachine, groupContext) }
    private var lastTickMillis = 0L

    @Volatile
    private var running = true

    /** Called on the decision thread after each batch; set before [start]. */
    var afterBatch: (GroupView<S>) -> Unit = {}

    /** The state of the group after the last batch. */
    @Volatile
    var view: GroupView<S> = driver.view()
        private set

    /** Inputs that wait for the decision thread. */
    val queuedInputs: Int get() = inbox.size

    /** Size of the commands that wait for the decision thread. */
    val queuedBytes: Long get() = commandBytes.get()

    private val decisionThread = thread(start = false, name = "group-$group", isDaemon = true) {
        while (running) runBatch(nextBatch())
    }

    fun start() {
        // After an uncaught exception, the state in memory may differ from the log, so the host must stop.
        decisionThread.setUncaughtExceptionHandler { _, exception ->
            groupContext.fail("group $group failed", exception)
        }
        decisionThread.start()
    }

    /** Stops the decision thread and closes the files of the log. */
    fun stop() {
        running = false
        decisionThread.join(STOP_TIMEOUT_MILLIS)
        driver.close()
    }

    /** Queues [input] for the replica. */
    fun enqueue(input: ReplicaInput) {
        inbox.add(GroupInput.Replica(input))
    }

    /**
     * Proposes [command]. The result completes once the command is applied, certainly has no effect, or can't be told
     * any more. The command is refused if the queued commands would exceed [MAX_QUEUED_BYTES], unless it is the only
     * one: a command that no attempt could queue would be refused for ever.
     */
    fun propose(command: Bytes): CompletableDeferred<Submission<R>> {
        val result = CompletableDeferred<Submission<R>>()
        val queuedBytes = commandBytes.addAndGet(command.size.toLong())
        if (queuedBytes <= MAX_QUEUED_BYTES || queuedBytes == command.size.toLong()) {
            inbox.add(GroupInput.Propose(command, result))
        } else {
            commandBytes.addAndGet(-command.size.toLong())
            result.complete(Submission.Refused("the command queue of group $group is full"))
        }
        return result
    }

    /**
     * Confirms with a majority that this replica still leads, and returns a linearizable read of the state: it includes
     * every command that was applied on any replica before this call. The result completes on the decision thread.
     */
    fun read(): CompletableDeferred<Submission<S>> {
        val result = CompletableDeferred<Submission<S>>()
        inbox.add(GroupInput.Read(result))
        return result
    }

    /** Proposes a membership change and waits until it is committed or certainly has no effect. */
    suspend fun change(change: MembershipChange): Submission<Unit> {
        val result = CompletableDeferred<Submission<Unit>>()
        inbox.add(GroupInput.Change(change, result))
        return result.await()
    }

    /** Runs [task] on the decision thread, before the next batch. */
    fun execute(task: () -> Unit) {
        inbox.add(GroupInput.Task(task))
    }

    private fun nextBatch(): List<GroupInput<S, R>> {
        val batch = ArrayList<GroupInput<S, R>>()
        var batchBytes = 0L
        var next = inbox.poll(TICK_MILLIS, TimeUnit.MILLISECONDS)
        while (next != null) {
            batch += next
            batchBytes += (next as? GroupInput.Propose)?.command?.size ?: 0
            next = if (batch.size < MAX_BATCH && batchBytes < MAX_BATCH_BYTES) inbox.poll() else null
        }
        commandBytes.addAndGet(-batchBytes)
        return batch
    }

    private fun runBatch(batch: List<GroupInput<S, R>>) {
        val nowMillis = clock.nowMillis()
        val inputs = batch.mapNotNull { it.toReplicaInput(driver.pending) } + tickIfDue(nowMillis)
        if (driver.run(inputs, nowMillis)) {
            view = driver.view()
            afterBatch(view)
        } else {
            running = false
        }
        val tookMillis = clock.nowMillis() - nowMillis
        if (tookMillis >= SLOW_BATCH_MILLIS) {
            logger.warn { "group $group: a batch of ${batch.size} inputs took $tookMillis ms; ${inbox.size} more wait" }
        }
    }

    private fun tickIfDue(nowMillis: Long): List<ReplicaInput> {
        if (nowMillis - lastTickMillis < TICK_MILLIS) return emptyList()
        lastTickMillis = nowMillis
        return listOf(ReplicaInput.Tick)
    }

    private companion object {
        const val TICK_MILLIS = 50L

        /** Half of the shortest election timeout; a leader whose batches take longer may lose its leadership. */
        const val SLOW_BATCH_MILLIS = 250L
        const val MAX_BATCH = 512

        /** A batch is encoded as one record of the log, for which its commands are copied several times. */
        const val MAX_BATCH_BYTES = 1_024 * 1_024

        /** A tenth of the heap, as a burst of large answers could otherwise exhaust the memory of the process. */
        const val MAX_QUEUED_BYTES = 4L * 1_024 * 1_024
        const val STOP_TIMEOUT_MILLIS = 2_000L
    }
}

private fun OpenedLog.startReplica(group: GroupName, initialMembership: Membership, nowMillis: Long): ReplicaStep {
    val settings = ReplicaSettings(seed = replica.hashCode().toLong() * group.value.hashCode())
    return startReplica(replica, recovered, initialMembership, settings, nowMillis)
}
