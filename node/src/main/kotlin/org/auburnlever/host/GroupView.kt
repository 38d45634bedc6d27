package org.auburnlever.host

import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.PeerProgress
import org.auburnlever.consensus.RaftRole
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaRole

/**
 * An immutable snapshot of a group as one replica sees it after a batch, published to all threads.
 *
 * @property membership the newest membership of the log, which is in force, whether it is committed or not
 * @property committedMembership the newest membership that the replica knows to be committed
 */
internal data class GroupView<S>(
    val state: S,
    val appliedIndex: Long,
    val replica: ReplicaId,
    val raftRole: RaftRole,
    val role: ReplicaRole?,
    val leader: ReplicaId?,
    val term: Long,
    val commitIndex: Long,
    val lastIndex: Long,
    val membership: Membership,
    val committedMembership: Membership,
    val peers: Map<ReplicaId, PeerProgress> = emptyMap(),
) {
    val isLeader: Boolean get() = raftRole == RaftRole.LEADER
}
