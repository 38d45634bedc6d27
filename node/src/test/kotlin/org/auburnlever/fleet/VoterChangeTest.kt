package org.auburnlever.fleet

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.model.HostName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

private const val NOW_MILLIS = 100_000L

class VoterChangeTest {
    private val hosts = List(4) { ReplicaId(HostName("10.0.0.$it"), incarnation = 1) }
    private val self = hosts[0]
    private val learner = hosts[3]
    private val voters = hosts.take(3).associateWith { ReplicaRole.VOTER }
    private val withLearner = Membership(voters + (learner to ReplicaRole.LEARNER))
    private val withFourVoters = Membership(hosts.associateWith { ReplicaRole.VOTER })
    private val promotion = MembershipChange.Promote(learner, ReplicaRole.VOTER)
    private val removal = MembershipChange.Remove(hosts[2])

    /** Returns the health of replicas that answered just now, or as long ago as [silentMillis] tells. */
    private fun health(vararg silentMillis: Pair<ReplicaId, Long>) = ReplicaHealth(
        answeredMillis = (hosts - self).associateWith { NOW_MILLIS - (silentMillis.toMap()[it] ?: 50L) },
        replicating = hosts.toSet(),
        departures = emptyMap(),
        leadsSinceMillis = 0,
    )

    /** Returns the health of replicas of which [unheard] has not answered since the election. */
    private fun healthAfterElection(unheard: ReplicaId, electedAgoMillis: Long) = health().copy(
        answeredMillis = health().answeredMillis - unheard,
        leadsSinceMillis = NOW_MILLIS - electedAgoMillis,
    )

    private fun ReplicaHealth.withDeparture(replica: ReplicaId, agoMillis: Long) =
        copy(departures = mapOf(replica to NOW_MILLIS - agoMillis))

    private fun change(
        membership: Membership,
        health: ReplicaHealth = health(),
        wantedVoters: Int = 3,
        catchUpMillis: Long = 4_000L,
    ): MembershipChange? =
        voterChange(membership, self, health, VoterPolicy.of(wantedVoters / 2, catchUpMillis), NOW_MILLIS)

    /** Guards against a new leader that takes voters for lost before they had time to answer it. */
    @Test
    fun `a voter that has not answered a new leader is unresponsive since the election`() {
        assertNull(change(withLearner, healthAfterElection(hosts[2], electedAgoMillis = 500)))
        assertEquals(removal, change(withLearner, healthAfterElection(hosts[2], electedAgoMillis = 5_000)))
    }

    @Test
    fun `a complete group changes nothing`() {
        assertNull(change(Membership(voters)))
        assertNull(change(withLearner))
    }

    @Test
    fun `a learner that answers becomes a voter while voters are missing`() {
        assertEquals(promotion, change(withLearner, wantedVoters = 5))
        assertNull(change(withLearner, health(learner to 9_000), wantedVoters = 5))
    }

    @Test
    fun `an unresponsive voter is removed only if a learner that answers can replace it`() {
        assertEquals(removal, change(withLearner, health(hosts[2] to 9_000)))
        assertNull(change(Membership(voters), health(hosts[2] to 9_000)))
        assertNull(change(withLearner, health(hosts[2] to 9_000, learner to 9_000)))
    }

    /** Guards against a group that runs with fewer voters for as long as a new host takes to get the log. */
    @Test
    fun `a lost voter stays until a learner has the log`() {
        assertNull(change(withLearner, health(hosts[2] to 9_000).copy(replicating = voters.keys)))
    }

    /** Guards against a group that still has a permanently lost voter when the next host is lost. */
    @Test
    fun `a lost voter is replaced before the operators count its replacement host as healthy`() {
        assertEquals(removal, change(withLearner, health(hosts[2] to 3_200)))
        assertNull(change(withLearner, health(hosts[2] to 3_000)))
        assertEquals(removal, change(withLearner, health(hosts[2] to 5_100), catchUpMillis = 6_000))
        assertNull(change(withLearner, health(hosts[2] to 4_900), catchUpMillis = 6_000))
    }

    @Test
    fun `a learner that replaces a wiped voter is not promoted here, as the group does so by itself`() {
        val replaced = Membership(withLearner.roles, promotions = mapOf(learner to ReplicaRole.VOTER))

        assertNull(change(replaced, wantedVoters = 5))
    }

    /** Guards against a planned replacement during which no other voter may be lost. */
    @Test
    fun `the vote of a host that shuts down is taken over before it is given up`() {
        val health = health().withDeparture(hosts[2], agoMillis = 100)
        assertNull(change(Membership(voters), health))
        assertEquals(promotion, change(withLearner, health))
        assertEquals(removal, change(withFourVoters, health))
    }

    /** Guards against four voters of which one is gone, when the leader changes between promotion and removal. */
    @Test
    fun `a new leader removes a surplus voter that shut down`() {
        fun change(electedAgoMillis: Long): MembershipChange? {
            val health = healthAfterElection(hosts[2], electedAgoMillis)
            return change(withFourVoters, health.withDeparture(hosts[2], agoMillis = 900))
        }
        assertNull(change(electedAgoMillis = 500))
        assertEquals(removal, change(electedAgoMillis = 700))
    }

    /** Guards against a group that keeps an even number of voters when a host restarts before its vote is given up. */
    @Test
    fun `a surplus voter is removed, but no other one than that which shuts down`() {
        assertEquals(MembershipChange.Remove(hosts[1]), change(withFourVoters))
        assertNull(change(withFourVoters, health().withDeparture(hosts[2], agoMillis = 700)))
    }

    /** Guards against a voter that shut down and is waited for like one that may only be slow. */
    @Test
    fun `a voter that shut down is replaced as soon as a learner can take its vote`() {
        assertEquals(removal, change(withLearner, health(hosts[2] to 850).withDeparture(hosts[2], agoMillis = 900)))
        assertNull(change(withLearner, health(hosts[2] to 300).withDeparture(hosts[2], agoMillis = 900)))
    }

    /** Guards against a voter that only restarted and loses its vote, and against a vote for a host that shuts down. */
    @Test
    fun `a restarted voter keeps its vote, and a learner that shuts down gets none`() {
        assertNull(change(withLearner, health().withDeparture(hosts[2], agoMillis = 2_000)))
        assertNull(change(withLearner, health(hosts[2] to 9_000).withDeparture(learner, agoMillis = 100)))
    }

    /** Guards against restarts in turn in which each leader hands over to a host that ends a moment later. */
    @Test
    fun `the leadership goes to a host that shuts down, too, only if there is no other`() {
        val matchIndices = mapOf(hosts[1] to 7L, hosts[2] to 9L)
        assertEquals(hosts[2], leadershipSuccessor(matchIndices, departing = emptySet()))
        assertEquals(hosts[1], leadershipSuccessor(matchIndices, departing = setOf(hosts[2])))
        assertEquals(hosts[2], leadershipSuccessor(matchIndices, departing = setOf(hosts[1], hosts[2])))
        assertNull(leadershipSuccessor(emptyMap(), departing = emptySet()))
    }
}
