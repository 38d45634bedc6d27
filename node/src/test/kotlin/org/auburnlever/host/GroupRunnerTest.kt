package org.auburnlever.host

import com.github.michaelbull.result.getOrThrow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.auburnlever.codec.Bytes
import org.auburnlever.codec.decodeToString
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.storage.LogStore
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GroupRunnerTest {
    private val folder = Files.createTempDirectory("group-runner")
    private val host = HostName("one")
    private var runner: GroupRunner<String, Int>? = null

    @AfterTest
    fun removeFiles() {
        runner?.stop()
        folder.toFile().deleteRecursively()
    }

    /** Guards against commands that are acknowledged but lost in a restart. */
    @Test
    fun `an applied command is in the state after a restart`() = runBlocking {
        LogStore.format(folder, host)
        val first = start()
        assertEquals(Submission.Applied(3), retryUntilLeader { first.propose(Bytes.of("abc")).await() })
        first.stop()
        val second = start()
        assertEquals(Submission.Applied("abc"), retryUntilLeader { second.read().await() })
    }

    /** Guards against a burst of commands that exhausts the memory of the process. */
    @Test
    fun `commands beyond the limit of the queue are refused and have no effect`() = runBlocking {
        LogStore.format(folder, host)
        val notStarted = open()
        val large = Bytes(ByteArray(LARGE_BYTES))
        val accepted = (1..COMMANDS_WITHIN_LIMIT).map { notStarted.propose(large) }
        assertIs<Submission.Refused>(notStarted.propose(large).await())
        notStarted.start()
        accepted.forEach { it.await() }
        assertIs<Submission.Applied<Int>>(retryUntilLeader { notStarted.propose(Bytes.of("a")).await() })
        Unit
    }

    /** Guards against a command that is refused at each attempt, as it exceeds the limit of the queue by itself. */
    @Test
    fun `a command that exceeds the limit of the queue is accepted by an empty queue`() = runBlocking {
        LogStore.format(folder, host)
        val started = start()
        retryUntilLeader { started.read().await() }
        val huge = Bytes(ByteArray(HUGE_BYTES) { 'x'.code.toByte() })
        assertEquals(Submission.Applied(HUGE_BYTES), started.propose(huge).await())
        started.stop()
        val again = start()
        assertEquals(Submission.Applied("x".repeat(HUGE_BYTES)), retryUntilLeader { again.read().await() })
    }

    private fun start(): GroupRunner<String, Int> = open().also { it.start() }

    private fun open(): GroupRunner<String, Int> {
        val opened = LogStore.open(folder, host).getOrThrow { IllegalStateException(it.message) }
        val singleVoter = Membership(mapOf(ReplicaId(host, 1) to ReplicaRole.VOTER))
        return GroupRunner(
            GroupName("test"),
            opened,
            singleVoter,
            AppendingStateMachine,
            FailingGroupContext,
            HostClock(),
        ).also { runner = it }
    }

    /** Repeats [ask] until the single replica leads, which it does after its first election timeout. */
    private suspend fun <T> retryUntilLeader(ask: suspend () -> Submission<T>): Submission<T> =
        withTimeout(WAIT_MILLIS) {
            var answer = ask()
            while (answer is Submission.NotLeader) answer = ask()
            answer
        }

    /** Appends the text of each command to the state and replies with the length of the state. */
    private object AppendingStateMachine : StateMachine<String, Int> {
        override val initial = ""

        override fun apply(state: String, index: Long, command: Bytes): Applied<String, Int> =
            (state + command.decodeToString()).let { Applied(it, it.length) }

        override fun encode(state: String) = Bytes.of(state)

        override fun decode(bytes: Bytes) = bytes.decodeToString()
    }

    private object FailingGroupContext : GroupContext {
        override fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) = Unit

        override fun fail(message: String, cause: Throwable?) = throw IllegalStateException(message, cause)
    }

    private companion object {
        const val LARGE_BYTES = 262_144
        const val HUGE_BYTES = 5 * 1_024 * 1_024
        const val COMMANDS_WITHIN_LIMIT = 16
        const val WAIT_MILLIS = 10_000L
    }
}
