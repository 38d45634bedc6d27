package org.auburnlever.consensus

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.world.HostName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private val EMPTY_LOG = RecoveredLog(term = 0, votedFor = null, snapshot = null, entries = emptyList())

class ReplicaTest {
    private val a = ReplicaId(HostName("a"), incarnation = 1)
    private val b = ReplicaId(HostName("b"), incarnation = 1)

    /** Guards against a group of one that never elects itself or never commits. */
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

    /** Guards against a lost disk that votes with the rights of the old copy. */
    @Test
    fun `a newer incarnation neither votes nor campaigns before it is admitted`() {
        val fresh = ReplicaId(a.host, incarnation = 99)
        val started = startReplica(fresh, EMPTY_LOG, voters(a, b), ReplicaSettings(seed = 1), nowMillis = 0).state
        val request = ReplicaMessage.VoteRequest(term = 5, lastIndex = 9, lastTerm = 4, transfer = false)
        val asked = started.step(ReplicaInput.Received(b, request), nowMillis = 5)
        assertEquals(emptyList(), asked.effects)
        assertEquals(emptyList(), asked.state.step(ReplicaInput.Tick, nowMillis = 60_000).effects)
    }

    /** Guards against a message type that does not survive the peer links. */
    @Test
    fun `messages are the same after CBOR`() {
        val members = EntryPayload.Members(Membership(mapOf(a to ReplicaRole.VOTER), mapOf(b to ReplicaRole.WITNESS)))
        val entries = listOf(LogEntry(1, 1, EntryPayload.Empty), LogEntry(2, 1, members))
        val message: ReplicaMessage = ReplicaMessage.Append(1, 0, 0, entries, commitIndex = 0, round = 3)
        assertEquals(message, Codec.decode(Codec.encode(message)))
    }

    private fun voters(vararg replicas: ReplicaId) = Membership(replicas.associateWith { ReplicaRole.VOTER })
}
