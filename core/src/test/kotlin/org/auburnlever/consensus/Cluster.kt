package org.auburnlever.consensus

import org.auburnlever.codec.Bytes
import org.auburnlever.model.HostName
import kotlin.random.Random

private const val ADMISSION_INTERVAL_MILLIS = 400L

private const val MAX_BATCH_BYTES = 256
private const val LARGE_COMMAND_CHARACTERS = 300
private const val LARGE_COMMAND_INTERVAL = 5
private const val LETTERS = 26

/**
 * Small limits, so that short runs reach snapshots, full in-flight windows, snapshots of several chunks and commands in
 * several parts.
 */
internal val SMALL_LIMITS = ReplicaSettings(
    maxBatchEntries = 3,
    maxBatchBytes = MAX_BATCH_BYTES,
    commandPartBytes = 70,
    maxInFlightMessages = 2,
    snapshotChunkBytes = 25,
    snapshotAfterEntries = 12,
    retainedEntries = 4,
    catchUpEntries = 3,
    seed = 0,
)

/**
 * A group of simulated hosts with [members] as its first members; [spares] are formatted, but not members. With
 * [largeCommands], every fifth proposal is too large for one entry.
 */
internal class Cluster(
    seed: Long,
    members: Map<String, ReplicaRole>,
    spares: List<String> = emptyList(),
    settings: ReplicaSettings = SMALL_LIMITS,
    private val largeCommands: Boolean = false,
) {
    val random = Random(seed)
    val network = SimulatedNetwork(random)
    private val initial = Membership(members.mapKeys { ReplicaId(HostName(it.key), incarnation = 1) })
    val history = HistoryChecker(initial)
    val hosts = (members.keys + spares).map {
        SimulatedHost(HostName(it), initial, settings.copy(seed = random.nextLong()), history, network)
    }
    var nowMillis = 0L
        private set
    private var nextId = 1L
    private var admissionDueMillis = 0L

    /** Whether syncing a batch may take several steps. */
    var slowDisks = false

    init {
        hosts.forEach { it.start(nowMillis) }
    }

    fun host(name: String): SimulatedHost = hosts.first { it.name.value == name }

    fun names(): List<HostName> = hosts.map { it.name }

    /** The leader with the highest term; leaders of earlier terms may not have stepped down yet. */
    fun leader(): SimulatedHost? =
        hosts.filter { it.state?.isLeader == true }.maxByOrNull { it.running.term }

    fun advance(millis: Long) {
        nowMillis += millis
        hosts.forEach(::runHost)
        admit()
    }

    fun advanceFor(millis: Long) = repeat((millis / 20).toInt()) { advance(20) }

    fun propose(host: SimulatedHost): Long = nextId++.also {
        val characters = if (largeCommands && it % LARGE_COMMAND_INTERVAL == 0L) LARGE_COMMAND_CHARACTERS else 0
        // Random text, since repeated text would be compressed into a single part.
        val text = Random(it).let { random -> CharArray(characters) { 'a' + random.nextInt(LETTERS) }.concatToString() }
        host.submit(ReplicaInput.Propose(it, Bytes.of("$it $text")))
    }

    fun read(host: SimulatedHost) = nextId++.let {
        history.recordReadStarted(it)
        host.submit(ReplicaInput.Read(it))
    }

    fun change(host: SimulatedHost, change: MembershipChange) =
        host.submit(ReplicaInput.ChangeMembership(nextId++, change))

    fun isolate(host: SimulatedHost) = network.isolate(host.name, names() - host.name)

    /** Ends all injected faults and starts the stopped hosts. */
    fun heal() {
        network.cutLinks.clear()
        network.faulty = false
        slowDisks = false
        hosts.forEach { it.resumeMillis = 0 }
        hosts.filter { it.state == null }.forEach { it.start(nowMillis) }
    }

    /** Proposes until a write completes that began after this call; returns false if none does within [limitMillis]. */
    fun completesWrite(limitMillis: Long): Boolean {
        val before = history.completedWrites
        val endMillis = nowMillis + limitMillis
        while (nowMillis < endMillis && history.completedWrites == before) {
            leader()?.let(::propose)
            advanceFor(100)
        }
        return history.completedWrites > before
    }

    private fun runHost(host: SimulatedHost) {
        if (host.resumeMillis > nowMillis) return
        val arrived = network.receive(host.name, nowMillis)
        if (!slowDisks || random.nextInt(10) < 7) host.sync(nowMillis)
        host.process(arrived, nowMillis)
        if (!slowDisks || random.nextInt(10) < 7) host.sync(nowMillis)
    }

    // Asks the leader to admit the new incarnations of hosts that lost their disk, as the driver does.
    private fun admit() {
        if (nowMillis < admissionDueMillis) return
        admissionDueMillis = nowMillis + ADMISSION_INTERVAL_MILLIS
        val lost = hosts.filter { it.state != null && it.id.incarnation > 1 && it.running.role == null }
        lost.forEach { host -> leader()?.let { change(it, MembershipChange.AddLearner(host.id)) } }
    }
}
