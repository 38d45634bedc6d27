package org.auburnlever.consensus

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.decodeToString
import org.auburnlever.model.HostName

// Length to which snapshots are padded, so that they need several chunks.
private const val SNAPSHOT_CHARACTERS = 60

/** Drives one replica: syncs the writes of a batch before it carries out the batch's other effects. */
internal class SimulatedHost(
    val name: HostName,
    private val initial: Membership,
    private val settings: ReplicaSettings,
    private val history: HistoryChecker,
    private val network: SimulatedNetwork,
) {
    var id = ReplicaId(name, incarnation = 1)
        private set
    var state: ReplicaState? = null
        private set
    var resumeMillis = 0L
    var restoreCount = 0
        private set
    var appliedIndex = 0L
        private set
    private var disk = SimulatedDisk()
    private var digest = 0L
    private var assembly = CommandAssembly()
    private var unsynced: List<ReplicaEffect>? = null
    private val inputs = mutableListOf<ReplicaInput>()
    private val accepted = mutableListOf<ReplicaEffect.Accepted>()

    val running: ReplicaState get() = checkNotNull(state) { "$name is stopped" }

    fun start(nowMillis: Long) {
        val step = startReplica(id, disk.recover(), initial, settings, nowMillis)
        state = step.state
        appliedIndex = 0
        digest = 0
        assembly = CommandAssembly()
        release(step.effects, nowMillis)
    }

    /** Stops the replica; unsynced writes and the effects that waited for them are lost. */
    fun crash() {
        state = null
        unsynced = null
        inputs.clear()
        accepted.clear()
    }

    fun loseDisk() {
        crash()
        disk = SimulatedDisk()
        id = id.copy(incarnation = id.incarnation + 1)
    }

    fun submit(input: ReplicaInput) {
        if (state != null) inputs += input
    }

    /** Whether no other membership can follow: neither is one in the log nor has a change been requested. */
    fun settledOn(membership: Membership): Boolean =
        inputs.isEmpty() && state.let { it != null && (it.membership == membership || id !in membership.roles) }

    /** Handles all inputs as one batch, unless the previous batch is not synced yet. */
    fun process(arrived: List<ReplicaInput>, nowMillis: Long) {
        inputs += arrived
        val before = state
        if (before == null || unsynced != null) return
        val snapshot = ReplicaInput.SnapshotTaken(appliedIndex, snapshotState())
            .takeIf { before.snapshotDue && !assembly.isIncomplete }
        val step = before.stepAll(inputs + ReplicaInput.Tick + listOfNotNull(snapshot), nowMillis)
        inputs.clear()
        state = step.state
        unsynced = step.effects
    }

    fun sync(nowMillis: Long) {
        val effects = unsynced ?: return
        unsynced = null
        effects.filterIsInstance<ReplicaEffect.Persist>().forEach { disk.write(it.write) }
        if (running.isLeader) history.recordLeader(running)
        release(effects, nowMillis)
    }

    private fun release(effects: List<ReplicaEffect>, nowMillis: Long) = effects.forEach { effect ->
        when (effect) {
            is ReplicaEffect.Send -> network.send(id, effect, nowMillis)
            is ReplicaEffect.Apply -> effect.entries.forEach(::apply)
            is ReplicaEffect.Restore -> restore(effect.snapshot)
            is ReplicaEffect.Accepted -> accepted += effect
            is ReplicaEffect.Rejected -> history.recordRejected(effect.proposalId)
            is ReplicaEffect.ReadConfirmed -> history.recordReadConfirmed(effect.readId, effect.index)
            is ReplicaEffect.Persist, is ReplicaEffect.LeaderChanged -> Unit
        }
    }

    private fun apply(entry: LogEntry) {
        check(entry.index == appliedIndex + 1) { "$id applies entry ${entry.index} after entry $appliedIndex" }
        appliedIndex = entry.index
        digest = history.recordApplied(entry, running)
        val command = assembly.commandAt(entry.payload)?.decodeToString()?.substringBefore(' ')?.toLong()
        history.checkCommand(entry.index, command)
        assembly = assembly.after(entry.payload)
        val decided = accepted.filter { it.index == entry.index || it.index > entry.index && it.term < entry.term }
        accepted.removeAll(decided)
        decided.forEach { history.recordOutcome(it, entry) }
    }

    private fun restore(snapshot: Snapshot) {
        val (index, value) = snapshot.state.decodeToString().trim().split(" ").map { it.toLong() }
        check(index == snapshot.lastIndex && value == history.digestAt(index)) { "$id restored wrong state at $index" }
        appliedIndex = index
        digest = value
        assembly = CommandAssembly()
        // The outcome of proposals whose entries the snapshot replaced stays unknown.
        accepted.removeAll { it.index <= index }
        restoreCount++
    }

    private fun snapshotState() = Bytes.of("$appliedIndex $digest".padEnd(SNAPSHOT_CHARACTERS))
}
