package org.auburnlever.fleet

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.world.HostName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

private const val NOW_MILLIS = 100_000L

class VoterChangeTest {
    private val hosts = List(4) { ReplicaId(HostName("10.0.0.$it"), incarnation = 1) }
    private val self = hosts[0]
    private val learner = hosts[3]
    private val voters = hosts.take(3).associateWith { ReplicaRole.VOTER }

    private fun change(
        membership: Membership,
        unresponsive: Set<ReplicaId> = emptySet(),
        wantedVoters: Int = 3,
        unresponsiveForMillis: Long = 9_000L,
    ): MembershipChange? {
        val lastAnswers = (membership.roles.keys - self)
            .associateWith { NOW_MILLIS - if (it in unresponsive) unresponsiveForMillis else 50L }
        return voterChange(membership, self, lastAnswers, wantedVoters, NOW_MILLIS)
    }

    /** Guards against a new leader that takes every voter for lost before it can have heard from them. */
    @Test
    fun `a voter that has not answered a new leader is silent since the election`() {
        val answered = mapOf(learner to NOW_MILLIS, hosts[1] to NOW_MILLIS, hosts[2] to null)
        fun change(leadsSinceMillis: Long): MembershipChange? {
            val lastAnswers = lastAnswerMillis(answered, withLearner, leadsSinceMillis)
            return voterChange(withLearner, self, lastAnswers, wantedVoters = 3, NOW_MILLIS)
        }
        assertNull(change(leadsSinceMillis = NOW_MILLIS - 500))
        assertEquals(MembershipChange.Remove(hosts[2]), change(leadsSinceMillis = NOW_MILLIS - 5_000))
    }

    private val withLearner = Membership(voters + (learner to ReplicaRole.LEARNER))

    @Test
    fun `a complete group changes nothing`() {
        assertNull(change(Membership(voters)))
        assertNull(change(withLearner))
    }

    @Test
    fun `a learner that answers gets a vote while voters are missing`() {
        assertEquals(MembershipChange.Promote(learner, ReplicaRole.VOTER), change(withLearner, wantedVoters = 5))
        assertNull(change(withLearner, unresponsive = setOf(learner), wantedVoters = 5))
    }

    @Test
    fun `a voter that is gone makes room only when a learner can take its place`() {
        assertEquals(MembershipChange.Remove(hosts[2]), change(withLearner, unresponsive = setOf(hosts[2])))
        assertNull(change(Membership(voters), unresponsive = setOf(hosts[2])))
        assertNull(change(withLearner, unresponsive = setOf(hosts[2], learner)))
    }

    /** Guards against a second loss that meets a group which still counts a host that is gone for good. */
    @Test
    fun `a voter is replaced before the operators count its successor as sound`() {
        val lost = setOf(hosts[2])
        assertEquals(MembershipChange.Remove(hosts[2]), change(withLearner, lost, unresponsiveForMillis = 4_100))
        assertNull(change(withLearner, lost, unresponsiveForMillis = 3_000))
    }

    @Test
    fun `a learner that replaces a wiped voter is left to the group, which promotes it by itself`() {
        val replaced = Membership(withLearner.roles, promotions = mapOf(learner to ReplicaRole.VOTER))

        assertNull(change(replaced, wantedVoters = 5))
    }
}
