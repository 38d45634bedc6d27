package org.auburnlever.host

import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.decodeToString
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.consensus.ReplicaSettings
import org.auburnlever.consensus.startReplica
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.storage.AppendFile
import org.auburnlever.storage.Disk
import org.auburnlever.storage.LogStore
import org.auburnlever.storage.SystemDisk
import java.nio.file.Path

private val GROUP = GroupName("test")

/** Small limits, so that short runs reach snapshots and commands in several parts. */
private val SMALL_LIMITS = ReplicaSettings(
    maxBatchEntries = 3,
    commandPartBytes = 70,
    maxInFlightMessages = 2,
    snapshotChunkBytes = 100,
    snapshotAfterEntries = 40,
    retainedEntries = 4,
    seed = 0,
)

/** A command that one replica was asked to carry out, with the answer once there is one. */
internal class SentCommand(val id: Long, val result: CompletableDeferred<Submission<Int>>)

/** A replica with its log on disk that is driven in virtual time; [send] passes its messages on. */
internal class ScheduledReplica(
    val name: HostName,
    private val membership: Membership,
    private val folder: Path,
    private val seed: Long,
    private val send: (ReplicaId, ReplicaId, ReplicaMessage) -> Unit,
) : GroupContext {
    private var driver: ReplicaDriver<List<Long>, Int>? = null
    private val inputs = mutableListOf<GroupInput<List<Long>, Int>>()
    private var unanswered = emptyList<SentCommand>()
    var frozenUntilMillis = 0L

    val isRunning: Boolean get() = driver != null
    val view: GroupView<List<Long>>? get() = driver?.view()

    /** Commands without an answer, except those whose replica has been restarted since. */
    val open: List<SentCommand> get() = unanswered.filter { it.result.isActive }

    init {
        LogStore.format(folder, name, UnsyncedDisk)
    }

    fun start(nowMillis: Long) {
        val opened = LogStore.open(folder, name, UnsyncedDisk).getOrThrow { IllegalStateException(it.message) }
        val settings = SMALL_LIMITS.copy(seed = seed + nowMillis)
        val step = startReplica(opened.replica, opened.recovered, membership, settings, nowMillis)
        driver = ReplicaDriver(GROUP, opened.store, step, AppliedIds, this)
    }

    /** Stops the replica; its queued inputs and open commands are lost. */
    fun stop() {
        driver?.close()
        driver = null
        inputs.clear()
        unanswered = emptyList()
    }

    fun receive(input: ReplicaInput) {
        if (isRunning) inputs += GroupInput.Replica(input)
    }

    fun propose(id: Long, text: String): SentCommand {
        val command = SentCommand(id, CompletableDeferred())
        inputs += GroupInput.Propose(Bytes.of("$id $text"), command.result)
        unanswered = open + command
        return command
    }

    fun run(nowMillis: Long) {
        val running = driver ?: return
        if (frozenUntilMillis > nowMillis) return
        val batch = inputs.mapNotNull { it.toReplicaInput(running.pending) } + ReplicaInput.Tick
        inputs.clear()
        check(running.run(batch, nowMillis)) { "$name can't write its log" }
    }

    override fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) =
        send(from, to, message)

    override fun fail(message: String, cause: Throwable?) = throw IllegalStateException(message, cause)

    /** The ids of the commands that were applied; the reply is their number. */
    private object AppliedIds : StateMachine<List<Long>, Int> {
        override val initial = emptyList<Long>()

        override fun apply(state: List<Long>, index: Long, command: Bytes): Applied<List<Long>, Int> =
            (state + command.decodeToString().substringBefore(' ').toLong()).let { Applied(it, it.size) }

        override fun encode(state: List<Long>) = Bytes.of(state.joinToString(" "))

        override fun decode(bytes: Bytes) =
            bytes.decodeToString().split(" ").filter { it.isNotEmpty() }.map { it.toLong() }
    }

    /** Does not wait for the disk, since no schedule cuts the power. */
    private object UnsyncedDisk : Disk {
        override fun open(file: Path): AppendFile = UnsyncedFile(SystemDisk.open(file))
    }

    private class UnsyncedFile(file: AppendFile) : AppendFile by file {
        override fun sync() = Unit
    }
}
