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

    /** Guards against a new leader that takes voters for lost before they had time to answer it. */
    @Test
    fun `a voter that has not answered a new leader is unresponsive since the election`() {
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
    fun `a learner that answers becomes a voter while voters are missing`() {
        assertEquals(MembershipChange.Promote(learner, ReplicaRole.VOTER), change(withLearner, wantedVoters = 5))
        assertNull(change(withLearner, unresponsive = setOf(learner), wantedVoters = 5))
    }

    @Test
    fun `an unresponsive voter is removed only if a learner that answers can replace it`() {
        assertEquals(MembershipChange.Remove(hosts[2]), change(withLearner, unresponsive = setOf(hosts[2])))
        assertNull(change(Membership(voters), unresponsive = setOf(hosts[2])))
        assertNull(change(withLearner, unresponsive = setOf(hosts[2], learner)))
    }

    /** Guards against a group that still has a permanently lost voter when the next host is lost. */
    @Test
    fun `a lost voter is replaced before the operators count its replacement host as healthy`() {
        val lost = setOf(hosts[2])
        assertEquals(MembershipChange.Remove(hosts[2]), change(withLearner, lost, unresponsiveForMillis = 4_100))
        assertNull(change(withLearner, lost, unresponsiveForMillis = 3_000))
    }

    @Test
    fun `a learner that replaces a wiped voter is not promoted here, as the group does so by itself`() {
        val replaced = Membership(withLearner.roles, promotions = mapOf(learner to ReplicaRole.VOTER))

        assertNull(change(replaced, wantedVoters = 5))
    }
}
