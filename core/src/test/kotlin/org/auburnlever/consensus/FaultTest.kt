package org.auburnlever.consensus

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

private val THREE_VOTERS = listOf("a", "b", "c").associateWith { ReplicaRole.VOTER }

class FaultTest {
    /** Guards against an election each time a host returns from a partition, which pre-vote prevents. */
    @Test
    fun `a replica isolated for long does not depose the leader on return`() {
        val cluster = startedCluster()
        val leader = cluster.awaitLeader()
        val term = leader.running.term
        cluster.isolate(cluster.followers().first())
        cluster.advanceFor(60_000)
        cluster.heal()
        cluster.advanceFor(5_000)
        assertEquals(leader, cluster.leader())
        assertEquals(term, leader.running.term)
    }

    /** Guards against stale reads, and clients that wait for a leader which can't reach a majority. */
    @Test
    fun `an isolated leader confirms no read and steps down`() {
        val cluster = startedCluster()
        val old = cluster.awaitLeader()
        val confirmed = cluster.history.confirmedReads
        cluster.isolate(old)
        repeat(10) {
            cluster.read(old)
            cluster.advanceFor(100)
        }
        cluster.advanceFor(1_000)
        assertEquals(confirmed, cluster.history.confirmedReads)
        assertFalse(old.running.isLeader)
        assertTrue(cluster.completesWrite(limitMillis = 3_000))
    }

    /** Guards against a group that stays without progress because only the leader's outgoing links work. */
    @Test
    fun `a leader that receives no messages is replaced`() {
        val cluster = startedCluster()
        val old = cluster.awaitLeader()
        cluster.network.cutLinks += cluster.names().map { it to old.name }
        assertTrue(cluster.completesWrite(limitMillis = 6_000))
        assertNotEquals(old, cluster.leader())
    }

    /** Guards against a promotion before the new copy of the log holds every committed entry. */
    @Test
    fun `a second lost disk right after the replacement of the first loses no commit`() {
        val cluster = startedCluster()
        cluster.awaitLeader()
        repeat(4) { round ->
            repeat(30) { assertTrue(cluster.completesWrite(limitMillis = 5_000)) }
            val lost = cluster.hosts[round % 3]
            lost.loseDisk()
            assertTrue(cluster.completesWrite(limitMillis = 5_000))
            lost.start(cluster.nowMillis)
            cluster.advanceUntil(10_000) { cluster.history.membership().roles[lost.id] == ReplicaRole.VOTER }
        }
        assertTrue(cluster.completesWrite(limitMillis = 5_000))
    }

    /** Guards against a restart that restores a wrong state, or takes too long, after many entries and snapshots. */
    @Test
    fun `a restart after hundreds of entries applies all of them`() {
        val cluster = startedCluster()
        repeat(700) { cluster.propose(cluster.awaitLeader()) }
        cluster.advanceFor(10_000)
        val before = cluster.history.commitIndex
        assertTrue(before > 700)
        repeat(3) {
            cluster.hosts.forEach { it.crash() }
            cluster.heal()
            assertTrue(cluster.completesWrite(limitMillis = 5_000))
        }
        cluster.advanceFor(1_000)
        cluster.hosts.forEach { assertEquals(cluster.history.commitIndex, it.appliedIndex) }
    }

    /** Guards against the loss of a commit that only the isolated leader and the lost disk had. */
    @Test
    fun `a host that lost its disk has no vote until it is admitted`() {
        val cluster = startedCluster()
        val leader = cluster.awaitLeader()
        val (kept, lost) = cluster.followers()
        cluster.isolate(kept)
        assertTrue(cluster.completesWrite(limitMillis = 1_000))
        cluster.network.cutLinks.clear()
        cluster.isolate(leader)
        lost.loseDisk()
        lost.start(cluster.nowMillis)
        cluster.advanceFor(20_000)
        assertTrue(listOf(kept, lost).none { it.running.isLeader })
        cluster.heal()
        assertTrue(cluster.completesWrite(limitMillis = 5_000))
        cluster.advanceUntil(5_000) { cluster.history.membership().roles[lost.id] == ReplicaRole.VOTER }
    }

    /** Guards against a ledger whose leader stays in a neighbouring failure domain while its own hosts are healthy. */
    @Test
    fun `a witness transfers leadership to a caught-up voter`() {
        val cluster = Cluster(seed = 1, members = THREE_VOTERS + ("c" to ReplicaRole.WITNESS))
        val witness = cluster.host("c")
        cluster.awaitLeader().submit(ReplicaInput.TransferLeadership(witness.id))
        cluster.advanceUntil(1_000) { witness.running.isLeader }
        cluster.advanceUntil(1_000) { cluster.leader() != witness }
        assertNotNull(cluster.leader())
    }

    /** Guards against the removal of a replica that the majority depends on. */
    @Test
    fun `a removal that would lose the reachable majority is refused`() {
        val cluster = startedCluster()
        val leader = cluster.awaitLeader()
        val (stopped, needed) = cluster.followers()
        stopped.crash()
        cluster.advanceFor(2_000)
        val remove = ReplicaInput.ChangeMembership(99, MembershipChange.Remove(needed.id))
        val expected = ReplicaEffect.Rejected(99, RejectionReason.WOULD_LOSE_QUORUM, leader.id)
        assertTrue(expected in leader.running.step(remove, cluster.nowMillis).effects)
    }

    /** Guards against a second process under the same host name that takes the vote of a working replica. */
    @Test
    fun `a replica that answers is not replaced by a newer incarnation`() {
        val cluster = startedCluster()
        val leader = cluster.awaitLeader()
        cluster.advanceFor(500)
        for (host in cluster.hosts) {
            val add = MembershipChange.AddLearner(host.id.copy(incarnation = 7))
            val effects = leader.running.step(ReplicaInput.ChangeMembership(1, add), cluster.nowMillis).effects
            val expected = ReplicaEffect.Rejected(1, RejectionReason.OLD_INCARNATION_ACTIVE, leader.id)
            assertEquals(listOf(expected), effects.filterIsInstance<ReplicaEffect.Rejected>())
        }
    }

    /** Guards against two changes whose majorities do not overlap. */
    @Test
    fun `a second change is refused while one is pending`() {
        val cluster = startedCluster()
        val (first, second) = cluster.followers()
        val inputs = listOf(first, second).mapIndexed { id, host ->
            ReplicaInput.ChangeMembership(id.toLong(), MembershipChange.Remove(host.id))
        }
        val effects = cluster.awaitLeader().running.stepAll(inputs, cluster.nowMillis).effects
        assertEquals(listOf(0L), effects.filterIsInstance<ReplicaEffect.Accepted>().map { it.proposalId })
        val rejected = effects.filterIsInstance<ReplicaEffect.Rejected>().single()
        assertEquals(RejectionReason.CHANGE_PENDING, rejected.reason)
    }

    /** Guards against peer frames above the limit of 1 MiB and against unbounded memory for a slow follower. */
    @Test
    fun `large backlogs are sent in bounded messages`() {
        val settings = ReplicaSettings(seed = 1)
        val cluster = Cluster(seed = 1, members = THREE_VOTERS, settings = settings)
        cluster.advanceFor(3_000)
        val leader = cluster.awaitLeader().running
        val command = Bytes(ByteArray(9_000) { -1 })
        val inputs = (1L..1_500L).map { ReplicaInput.Propose(it, command) }
        val appends = leader.stepAll(inputs, cluster.nowMillis).effects.filterIsInstance<ReplicaEffect.Send>()
        assertEquals(setOf(settings.maxInFlightMessages), appends.groupBy { it.to }.values.map { it.size }.toSet())
        val sizes = appends.map { Codec.encode(it.message).size }
        assertTrue(sizes.all { it in 400 * 1024..520 * 1024 }, "sizes $sizes")
    }

    private fun startedCluster() = Cluster(seed = 1, members = THREE_VOTERS).also { it.advanceFor(3_000) }

    private fun Cluster.awaitLeader(): SimulatedHost {
        if (leader() == null) advanceUntil(5_000) { leader().let { it != null && it.running.commitIndex > 0 } }
        return checkNotNull(leader())
    }

    private fun Cluster.followers() = hosts - awaitLeader()

    private fun Cluster.advanceUntil(limitMillis: Long, condition: () -> Boolean) {
        val endMillis = nowMillis + limitMillis
        while (nowMillis < endMillis && !condition()) advance(20)
        assertTrue(condition(), "condition not met within $limitMillis ms")
    }
}
