package org.auburnlever.consensus

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.codec.deflated
import org.auburnlever.model.HostName
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private val EMPTY_LOG = RecoveredLog(term = 0, votedFor = null, snapshot = null, entries = emptyList())

class ReplicaTest {
    private val a = ReplicaId(HostName("a"), incarnation = 1)
    private val b = ReplicaId(HostName("b"), incarnation = 1)

    /** Guards against a group of one voter that never elects itself or never commits. */
    @Test
    fun `a single voter leads, commits and confirms reads`() {
        val started = startReplica(a, EMPTY_LOG, voters(a), ReplicaSettings(seed = 1), nowMillis = 0).state
        val elected = started.step(ReplicaInput.Tick, nowMillis = 2_000)
        assertTrue(elected.state.isLeader)
        val proposed = elected.state.step(ReplicaInput.Propose(7, Bytes.of("x")), nowMillis = 2_001)
        assertTrue(ReplicaEffect.Accepted(7, index = 2, term = 1) in proposed.effects)
        assertEquals(2, proposed.state.commitIndex)
        val read = proposed.state.step(ReplicaInput.Read(8), nowMillis = 2_002)
        assertTrue(ReplicaEffect.ReadConfirmed(8, index = 2) in read.effects)
    }

    /** Guards against a command that is refused at each attempt although the interface accepted it. */
    @Test
    fun `a command that is too large for one entry takes effect with its last part`() {
        val command = Bytes(Random(1).nextBytes(700_000))
        val started = startReplica(a, EMPTY_LOG, voters(a), ReplicaSettings(seed = 1), nowMillis = 0).state
        val elected = started.step(ReplicaInput.Tick, nowMillis = 2_000).state
        val proposed = elected.step(ReplicaInput.Propose(7, command), nowMillis = 2_001)
        assertTrue(ReplicaEffect.Accepted(7, index = 7, term = 1) in proposed.effects, "one empty entry and six parts")
        val entries = proposed.effects.filterIsInstance<ReplicaEffect.Apply>().flatMap { it.entries }
        val commands = entries.runningFold(CommandAssembly()) { assembly, entry -> assembly.after(entry.payload) }
            .zip(entries) { assembly, entry -> assembly.commandAt(entry.payload) }
        assertEquals(List(5) { null } + command, commands)
    }

    /** Guards against half a command that takes effect after the leader that appended it was replaced. */
    @Test
    fun `parts without the last one have no effect`() {
        val (first, second) = Bytes.of("command").deflated().let { it.slice(0, 4) to it.slice(4, it.size) }
        val last = EntryPayload.CommandPart(1, last = true, second)
        val lost = listOf(part(0, Bytes.of("a")), part(1, Bytes.of("b")), EntryPayload.Empty)
        val assembly = lost.fold(CommandAssembly()) { before, payload -> before.after(payload) }
        assertEquals(null, assembly.commandAt(EntryPayload.CommandPart(2, last = true, Bytes.of("c"))))
        assertEquals(Bytes.of("command"), assembly.after(part(0, first)).commandAt(last))
    }

    private fun part(part: Int, data: Bytes) = EntryPayload.CommandPart(part, last = false, data)

    /** Guards against a host that lost its disk and votes in place of its old incarnation. */
    @Test
    fun `a newer incarnation neither votes nor starts an election before it is admitted`() {
        val fresh = ReplicaId(a.host, incarnation = 99)
        val started = startReplica(fresh, EMPTY_LOG, voters(a, b), ReplicaSettings(seed = 1), nowMillis = 0).state
        val request = ReplicaMessage.VoteRequest(term = 5, lastIndex = 9, lastTerm = 4, transfer = false)
        val asked = started.step(ReplicaInput.Received(b, request), nowMillis = 5)
        assertEquals(emptyList(), asked.effects)
        assertEquals(emptyList(), asked.state.step(ReplicaInput.Tick, nowMillis = 60_000).effects)
    }

    /** Guards against a second vote in the same term after a restart. */
    @Test
    fun `a vote is persisted with its answer and survives a restart`() {
        val c = ReplicaId(HostName("c"), incarnation = 1)
        val request = ReplicaMessage.VoteRequest(term = 5, lastIndex = 9, lastTerm = 4, transfer = false)
        val started = startReplica(a, EMPTY_LOG, voters(a, b, c), ReplicaSettings(seed = 1), nowMillis = 0).state
        val voted = started.step(ReplicaInput.Received(b, request), nowMillis = 5)
        val vote = DurableWrite.Vote(term = 5, votedFor = b)
        assertTrue(ReplicaEffect.Persist(vote) in voted.effects)
        val recovered = EMPTY_LOG.copy(term = vote.term, votedFor = vote.votedFor)
        val again = startReplica(a, recovered, voters(a, b, c), ReplicaSettings(seed = 1), nowMillis = 10).state
        val answer = again.step(ReplicaInput.Received(c, request), nowMillis = 15).effects
        assertEquals(listOf(ReplicaEffect.Send(c, ReplicaMessage.VoteAnswer(term = 5, granted = false))), answer)
    }

    /** Guards against messages to or from a copy of the log that was lost. */
    @Test
    fun `messages to or from another incarnation are ignored`() {
        val fresh = ReplicaId(b.host, incarnation = 2)
        val members = Membership(listOf(a, fresh).associateWith { ReplicaRole.VOTER })
        val started = startReplica(a, EMPTY_LOG, members, ReplicaSettings(seed = 1), nowMillis = 0).state
        val request = ReplicaMessage.VoteRequest(term = 5, lastIndex = 9, lastTerm = 4, transfer = false)
        val ignored = listOf(
            ReplicaInput.Received(b, request),
            ReplicaInput.Received(fresh, request, to = a.copy(incarnation = 2)),
            ReplicaInput.Received(a.copy(incarnation = 2), request),
        )
        ignored.forEach { assertEquals(emptyList(), started.step(it, nowMillis = 5).effects, "$it") }
        val handled = started.step(ReplicaInput.Received(fresh, request, to = a), nowMillis = 5)
        assertTrue(ReplicaEffect.Send(fresh, ReplicaMessage.VoteAnswer(term = 5, granted = true)) in handled.effects)
    }

    /** Guards against a stale read: a re-elected leader would take a round of its earlier term for a current one. */
    @Test
    fun `the answer to an outdated term returns no read round`() {
        val recovered = EMPTY_LOG.copy(term = 2)
        val started = startReplica(a, recovered, voters(a, b), ReplicaSettings(seed = 1), nowMillis = 0).state
        val delayed = ReplicaMessage.Append(1, 0, 0, emptyList(), commitIndex = 0, round = 24)
        val answered = started.step(ReplicaInput.Received(b, delayed), nowMillis = 5)
        assertEquals(listOf(ReplicaEffect.Send(b, ReplicaMessage.TermOutdated(term = 2))), answered.effects)
    }

    /** Guards against a message type that changes on its way over the peer links. */
    @Test
    fun `messages are equal after CBOR encoding and decoding`() {
        val members = EntryPayload.Members(Membership(mapOf(a to ReplicaRole.VOTER), mapOf(b to ReplicaRole.WITNESS)))
        val entries = listOf(LogEntry(1, 1, EntryPayload.Empty), LogEntry(2, 1, members))
        val message: ReplicaMessage = ReplicaMessage.Append(1, 0, 0, entries, commitIndex = 0, round = 3)
        assertEquals(message, Codec.decode(Codec.encode(message)))
    }

    private fun voters(vararg replicas: ReplicaId) = Membership(replicas.associateWith { ReplicaRole.VOTER })
}
