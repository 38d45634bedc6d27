package org.auburnlever.host

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaInput
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.model.HostName
import java.nio.file.Files
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val SCHEDULES = 200L
private const val STEPS = 400
private const val RECOVERY_STEPS = 400
private const val QUIET_STEPS = 100
private const val LARGE_COMMAND_CHARACTERS = 300
private const val LETTERS = 26

class SubmissionScheduleTest {
    /** Guards against a command that is applied although its caller was told otherwise, and one that gets no answer. */
    @Test
    fun `each command gets an answer, and none that was answered as not carried out is applied`() {
        val folder = Files.createTempDirectory("submissions")
        val answers = try {
            val runs = (1..SCHEDULES).map { runSeed(it, folder.resolve("$it")) }
            val failures = runs.mapNotNull { it.exceptionOrNull()?.message }
            assertEquals(emptyList(), failures, "${failures.size} schedules failed")
            runs.flatMap { it.getOrThrow() }
        } finally {
            folder.toFile().deleteRecursively()
        }
        val counts = answers.groupingBy { it }.eachCount()
        println("$SCHEDULES schedules: $counts")
        // If few commands get an answer of a kind, passing says little about it.
        val few = listOf("Applied", "NotLeader", "Undecided").filter { counts.getOrDefault(it, 0) < SCHEDULES / 4 }
        assertTrue(few.isEmpty(), "too few answers: $counts")
    }

    private fun runSeed(seed: Long, folder: Path): Result<List<String>> =
        runCatching { SubmissionSchedule(seed, folder).run() }
            .recoverCatching { throw IllegalStateException("seed $seed: $it", it) }
}

/** One run with random faults, then one without faults, after which the answers are compared with what was applied. */
private class SubmissionSchedule(seed: Long, folder: Path) {
    private class Packet(val dueMillis: Long, val to: HostName, val input: ReplicaInput)

    private val random = Random(seed)
    private val names = listOf("a", "b", "c").map { HostName(it) }
    private val membership = Membership(names.associate { ReplicaId(it, incarnation = 1) to ReplicaRole.VOTER })
    private val replicas = names.map { name ->
        val replicaFolder = Files.createDirectories(folder.resolve(name.value))
        ScheduledReplica(name, membership, replicaFolder, random.nextLong(), ::send)
    }
    private var lossPercent = 2
    private val cutLinks = mutableSetOf<Pair<HostName, HostName>>()
    private val packets = mutableListOf<Packet>()
    private val sent = mutableListOf<SentCommand>()
    private var nowMillis = 0L

    /** Returns the kinds of the answers. */
    fun run(): List<String> {
        replicas.forEach { it.start(nowMillis) }
        repeat(STEPS) {
            if (random.nextInt(10) < 6) propose(leaderOrAny())
            if (random.nextInt(100) < 8) fault()
            replicas.filter { !it.isRunning && random.nextInt(100) < 8 }.forEach { it.start(nowMillis) }
            advance(random.nextLong(5, 40))
        }
        recover()
        check()
        replicas.forEach { it.stop() }
        return sent.filter { it.result.isCompleted }.map { checkNotNull(it.result.getCompleted()::class.simpleName) }
    }

    private fun propose(replica: ScheduledReplica) {
        if (!replica.isRunning) return
        val id = sent.size.toLong()
        val characters = if (id % 5 == 0L) LARGE_COMMAND_CHARACTERS else 0
        val text = CharArray(characters) { 'a' + random.nextInt(LETTERS) }.concatToString()
        sent += replica.propose(id, text)
    }

    private fun fault() = when (random.nextInt(12)) {
        0 -> replicas.random(random).stop()
        in 1..3 -> leaderOrAny().frozenUntilMillis = nowMillis + random.nextLong(4_000)
        4 -> cutLinks += names.random(random) to names.random(random)
        in 5..6 -> isolate(leaderOrAny().name)
        7 -> leaderOrAny().receive(ReplicaInput.TransferLeadership(membership.roles.keys.random(random)))
        else -> cutLinks.clear()
    }

    private fun isolate(host: HostName) = names.filter { it != host }.forEach {
        cutLinks += host to it
        cutLinks += it to host
    }

    private fun recover() {
        cutLinks.clear()
        lossPercent = 0
        replicas.forEach { it.frozenUntilMillis = 0 }
        replicas.filter { !it.isRunning }.forEach { it.start(nowMillis) }
        repeat(RECOVERY_STEPS) { step ->
            if (step % 20 == 0 && step < RECOVERY_STEPS - QUIET_STEPS) propose(leaderOrAny())
            advance(20)
        }
    }

    private fun check() {
        val states = replicas.map { checkNotNull(it.view).state }
        val applied = states.first()
        check(states.all { it == applied }) { "the replicas have not applied the same commands: $states" }
        val counts = applied.groupingBy { it }.eachCount()
        sent.filter { it.result.isCompleted }.forEach { command ->
            val count = counts.getOrDefault(command.id, 0)
            val answer = command.result.getCompleted()
            val allowed = when (answer) {
                is Submission.Applied -> 1..1
                is Submission.NotLeader, is Submission.Refused -> 0..0
                is Submission.Undecided -> 0..1
            }
            check(count in allowed) { "command ${command.id} was answered with $answer and applied $count times" }
        }
        check(replicas.all { it.open.isEmpty() }) { "no answer to ${replicas.flatMap { it.open }.map { it.id }}" }
    }

    private fun advance(millis: Long) {
        nowMillis += millis
        replicas.forEach { replica ->
            val arrived = packets.filter { it.to == replica.name && it.dueMillis <= nowMillis }
            packets.removeAll(arrived)
            arrived.sortedBy { it.dueMillis }.forEach { replica.receive(it.input) }
            replica.run(nowMillis)
        }
    }

    private fun send(from: ReplicaId, to: ReplicaId, message: ReplicaMessage) {
        if (from.host to to.host in cutLinks || random.nextInt(100) < lossPercent) return
        packets += Packet(nowMillis + random.nextLong(1, 30), to.host, ReplicaInput.Received(from, message, to))
    }

    // A frozen leader is asked too: it answers what it has queued when it goes on.
    private fun leaderOrAny(): ScheduledReplica {
        val leaders = replicas.filter { it.view?.isLeader == true }
        return if (leaders.isNotEmpty() && random.nextInt(5) > 0) leaders.random(random) else replicas.random(random)
    }
}
