package org.auburnlever.host

import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import org.auburnlever.consensus.CommandAssembly
import org.auburnlever.consensus.LogEntry
import org.auburnlever.consensus.ReplicaEffect
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaStep
import org.auburnlever.consensus.committedMembership
import org.auburnlever.consensus.lastIndex
import org.auburnlever.consensus.leader
import org.auburnlever.consensus.membership
import org.auburnlever.consensus.peers
import org.auburnlever.consensus.raftRole
import org.auburnlever.consensus.role
import org.auburnlever.consensus.snapshotDue
import org.auburnlever.consensus.stepAll
import org.auburnlever.peer.GroupName
import org.auburnlever.storage.LogStore

private val logger = KotlinLogging.logger {}

/**
 * Steps one replica, persists its writes and applies its log to [stateMachine]. Used by one thread at a time. [start]
 * is the step with which the replica was started from what [store] holds.
 */
internal class ReplicaDriver<S, R>(
    private val group: GroupName,
    private val store: LogStore,
    start: ReplicaStep,
    private val stateMachine: StateMachine<S, R>,
    private val groupContext: GroupContext,
) {
    val pending = PendingSubmissions<S, R>()
    private var state = stateMachine.initial
    private var appliedIndex = 0L
    private var assembly = CommandAssembly()
    private var replica = start.state

    init {
        start.effects.filterIsInstance<ReplicaEffect.Restore>().forEach { restore(it) }
    }

    /** Processes [inputs] as one batch and takes a snapshot if one is due; false if the log can't be written. */
    fun run(inputs: List<ReplicaInput>, nowMillis: Long): Boolean {
        val stored = inputs.isEmpty() || carryOut(replica.stepAll(inputs, nowMillis))
        // A snapshot has no place for the parts of a command that are applied already.
        if (!stored || !replica.snapshotDue || assembly.isIncomplete) return stored
        val snapshotTaken = ReplicaInput.SnapshotTaken(appliedIndex, stateMachine.encode(state))
        return carryOut(replica.stepAll(listOf(snapshotTaken), nowMillis))
    }

    /** Returns the current state of the group as this replica sees it. */
    fun view() = GroupView(
        state = state,
        appliedIndex = appliedIndex,
        replica = replica.id,
        raftRole = replica.raftRole,
        role = replica.role,
        leader = replica.leader,
        term = replica.term,
        commitIndex = replica.commitIndex,
        lastIndex = replica.lastIndex,
        membership = replica.membership,
        committedMembership = replica.committedMembership,
        peers = replica.peers,
    )

    fun close() = store.close()

    private fun carryOut(step: ReplicaStep): Boolean {
        replica = step.state
        val stored = store(step)
        if (stored) {
            step.effects.forEach { carryOut(it) }
            pending.serveReads(state, appliedIndex)
        }
        return stored
    }

    /** Writes a whole batch with one sync. No other effect of the batch may be carried out before. */
    private fun store(step: ReplicaStep): Boolean {
        val writes = step.effects.filterIsInstance<ReplicaEffect.Persist>().map { it.write }
        if (writes.isEmpty()) return true
        return store.write(writes)
            .onFailure { groupContext.fail("group $group can't write its log: ${it.message}") }
            .isOk
    }

    private fun carryOut(effect: ReplicaEffect) {
        when (effect) {
            is ReplicaEffect.Persist -> Unit
            is ReplicaEffect.Send -> groupContext.send(group, replica.id, effect.to, effect.message)
            is ReplicaEffect.Apply -> effect.entries.forEach { apply(it) }
            is ReplicaEffect.Restore -> restore(effect)
            is ReplicaEffect.Accepted -> pending.onAccepted(effect)
            is ReplicaEffect.Rejected -> pending.onRejected(effect)
            is ReplicaEffect.ReadConfirmed -> pending.onReadConfirmed(effect)
            is ReplicaEffect.LeaderChanged ->
                logger.info { "group $group: leader ${effect.leader ?: "unknown"} in term ${effect.term}" }
        }
    }

    private fun apply(entry: LogEntry) {
        val reply = assembly.commandAt(entry.payload)?.let { command ->
            val applied = stateMachine.apply(state, entry.index, command)
            state = applied.state
            applied.reply
        }
        assembly = assembly.after(entry.payload)
        appliedIndex = entry.index
        pending.onApplied(entry, reply)
    }

    private fun restore(effect: ReplicaEffect.Restore) {
        state = stateMachine.decode(effect.snapshot.state)
        appliedIndex = effect.snapshot.lastIndex
        assembly = CommandAssembly()
        pending.onRestored(effect.snapshot)
    }
}
