package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.peer.GroupName
import org.auburnlever.storage.OpenedLog
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** What a [GroupRunner] needs from its host. */
internal interface GroupContext {
    /** Sends a replica message; it may be lost. */
    fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage)

    /** Stops the host: it can't keep its guarantees any more. */
    fun fail(message: String, cause: Throwable? = null)
}

/**
 * Runs one replicated group on this host.
 *
 * One decision thread owns the replica and the state, and takes its inputs in batches. Other threads read [view]
 * without locks.
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
    private val queuedBytes = AtomicLong()
    private val driver = ReplicaDriver(group, opened, initialMembership, stateMachine, groupContext, clock.nowMillis())
    private var lastTickMillis = 0L

    @Volatile
    private var running = true

    /** Called on the decision thread after each batch; set before [start]. */
    var afterBatch: (GroupView<S>) -> Unit = {}

    /** The group after the last batch. */
    @Volatile
    var view: GroupView<S> = driver.view()
        private set

    private val decisionThread = thread(start = false, name = "group-$group", isDaemon = true) {
        while (running) runBatch(nextBatch())
    }

    fun start() {
        // Whatever went wrong, the state in memory may differ from the log, so the host must not go on.
        decisionThread.setUncaughtExceptionHandler { _, exception ->
            groupContext.fail("group $group failed", exception)
        }
        decisionThread.start()
    }

    /** Ends the decision thread and closes the files. */
    fun stop() {
        running = false
        decisionThread.join(STOP_TIMEOUT_MILLIS)
        driver.close()
    }

    /** Passes [input] to the replica. */
    fun enqueue(input: ReplicaInput) {
        inbox.add(GroupInput.Replica(input))
    }

    /**
     * Proposes [command]; the result is complete when the command is applied or certainly has no effect. It is refused
     * while commands of more than [MAX_QUEUED_BYTES] wait.
     */
    fun propose(command: Bytes): CompletableDeferred<Submission<R>> {
        val result = CompletableDeferred<Submission<R>>()
        if (queuedBytes.addAndGet(command.size.toLong()) <= MAX_QUEUED_BYTES) {
            inbox.add(GroupInput.Propose(command, result))
        } else {
            queuedBytes.addAndGet(-command.size.toLong())
            result.complete(Submission.Refused("too many commands wait for group $group"))
        }
        return result
    }

    /**
     * Asks a majority whether this replica still leads. The result is a state that holds every command that was applied
     * anywhere before this call; it is completed on the decision thread.
     */
    fun read(): CompletableDeferred<Submission<S>> {
        val result = CompletableDeferred<Submission<S>>()
        inbox.add(GroupInput.Read(result))
        return result
    }

    /** Changes the membership; returns once the change is committed or certainly has no effect. */
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
        inbox.poll(TICK_MILLIS, TimeUnit.MILLISECONDS)?.let { batch += it }
        inbox.drainTo(batch, MAX_BATCH)
        queuedBytes.addAndGet(-batch.sumOf { (it as? GroupInput.Propose)?.command?.size?.toLong() ?: 0L })
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
    }

    private fun tickIfDue(nowMillis: Long): List<ReplicaInput> {
        if (nowMillis - lastTickMillis < TICK_MILLIS) return emptyList()
        lastTickMillis = nowMillis
        return listOf(ReplicaInput.Tick)
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val MAX_BATCH = 512

        /** A tenth of the heap; beyond it, a burst of large answers could exhaust the memory of the process. */
        const val MAX_QUEUED_BYTES = 4L * 1_024 * 1_024
        const val STOP_TIMEOUT_MILLIS = 2_000L
    }
}
