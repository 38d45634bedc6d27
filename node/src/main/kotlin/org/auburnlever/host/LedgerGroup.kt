package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.codec.Codec
import org.auburnlever.configuration.Bundle
import org.auburnlever.ledger.LeaderState
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.StampedCommand
import org.auburnlever.ledger.complete
import org.auburnlever.ledger.handleHeartbeat
import org.auburnlever.ledger.tick
import org.auburnlever.model.DomainName
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.wire.HeartbeatReply
import org.auburnlever.wire.WorkerHeartbeat

/**
 * The ledger of one failure domain on this host: its replica and, while this replica leads, the leader's soft state.
 *
 * The soft state is used on the decision thread of [runner] only, and discarded when the leadership is lost.
 */
internal class LedgerGroup(
    val domain: DomainName,
    val runner: GroupRunner<LedgerState, LedgerReply>,
    private val inForce: () -> Bundle?,
    private val clock: HostClock,
) {
    private val pendingHeartbeats = PendingHeartbeats()
    private var leader: LeaderState? = null
    private var leaderTerm = NO_TERM
    private var readyIndex = 0L
    private var lastTickMillis = 0L
    private var processedIndex = -1L
    private var inFlight = emptyList<CompletableDeferred<*>>()

    init {
        runner.afterBatch = { afterBatch(it) }
    }

    /** Proposes [command] to this replica and waits for the result. */
    suspend fun submit(command: LedgerCommand): Submission<LedgerReply> = runner.propose(stamp(command)).await()

    /** Answers [query] as JSON from a state at least as recent as this call. */
    suspend fun read(query: LedgerQuery): Submission<String> = when (val result = runner.read().await()) {
        is Submission.Applied -> Submission.Applied(result.reply.answer(query))
        is Submission.NotLeader -> result
        is Submission.Refused -> result
        is Submission.Undecided -> result
    }

    /** Handles a worker's heartbeat. Replies once there are orders or after 1 s; null if this replica does not lead. */
    suspend fun heartbeat(heartbeat: WorkerHeartbeat): HeartbeatReply? {
        val reply = CompletableDeferred<HeartbeatReply?>()
        runner.execute { receiveHeartbeat(heartbeat, reply) }
        return reply.await()
    }

    private fun receiveHeartbeat(heartbeat: WorkerHeartbeat, reply: CompletableDeferred<HeartbeatReply?>) {
        val leaderState = leader
        if (leaderState == null) {
            reply.complete(null)
            return
        }
        val nowMillis = clock.nowMillis()
        val complete = leaderState.complete(heartbeat, nowMillis)
        if (complete == null) {
            reply.complete(HeartbeatReply(leaseMillis = 0, orders = emptyList(), completeWanted = true))
            return
        }
        val step = handleHeartbeat(runner.view.state, leaderState, complete, nowMillis)
        leader = step.leader
        step.commands.forEach { runner.propose(stamp(it)) }
        pendingHeartbeats.add(complete, nowMillis, reply)
        // Forces a check after this batch, which finds orders that exist already even if the batch applies no entry.
        processedIndex = -1
    }

    private fun afterBatch(view: GroupView<LedgerState>) {
        val nowMillis = clock.nowMillis()
        updateLeadership(view, nowMillis)
        val leaderState = leader ?: return
        val due = view.appliedIndex != processedIndex || nowMillis - lastTickMillis >= TICK_MILLIS
        if (due) {
            processedIndex = view.appliedIndex
            answerHeartbeats(view, nowMillis)
            runTick(view, leaderState, nowMillis)
        }
    }

    /**
     * Answers the heartbeats that are due, once a majority has confirmed the leadership. A leader that was replaced
     * without noticing, for example while its process was frozen, must not renew a lease: its successor may have given
     * the worker's accelerators to another task.
     */
    private fun answerHeartbeats(view: GroupView<LedgerState>, nowMillis: Long) {
        val ready = pendingHeartbeats.takeReady(view.state, nowMillis)
        if (ready.isEmpty()) return
        val confirmation = runner.read()
        confirmation.invokeOnCompletion {
            val leads = confirmation.getCompleted() is Submission.Applied
            ready.forEach { it.answer(leads) }
        }
    }

    private fun updateLeadership(view: GroupView<LedgerState>, nowMillis: Long) {
        if (!view.isLeader) {
            stopLeading()
            return
        }
        if (leaderTerm != view.term) {
            stopLeading()
            leaderTerm = view.term
            readyIndex = view.lastIndex
        }
        // Entries of earlier terms must be applied before this replica decides anything based on its state.
        if (leader == null && view.appliedIndex >= readyIndex) leader = LeaderState(nowMillis)
    }

    private fun stopLeading() {
        leader = null
        leaderTerm = NO_TERM
        inFlight = emptyList()
        pendingHeartbeats.refuseAll()
    }

    /** Runs the tick of the leader, but only after its earlier commands are applied, so that none is proposed twice. */
    private fun runTick(view: GroupView<LedgerState>, leaderState: LeaderState, nowMillis: Long) {
        lastTickMillis = nowMillis
        inFlight = inFlight.filter { it.isActive }
        if (inFlight.isNotEmpty()) return
        val step = tick(view.state, leaderState, inForce(), domain, nowMillis)
        leader = step.leader
        inFlight = step.commands.map { runner.propose(stamp(it)) }
    }

    private fun stamp(command: LedgerCommand) = Codec.encode(StampedCommand(clock.nowMillis(), command))

    private companion object {
        const val TICK_MILLIS = 100L
        const val NO_TERM = -1L
    }
}
