package org.auburnlever.consensus

/** The members with a vote: voters and witnesses. */
val Membership.voters: Set<ReplicaId>
    get() = roles.filterValues { it != ReplicaRole.LEARNER }.keys

/** Whether [replicas] include a majority of the voters. */
internal fun Membership.isQuorum(replicas: Set<ReplicaId>): Boolean =
    voters.let { voters -> voters.count { it in replicas } * 2 > voters.size }

/** The largest value that a majority of the voters has reached, by [valueOf]; null without voters. */
internal fun Membership.reachedByQuorum(valueOf: (ReplicaId) -> Long): Long? =
    voters.map(valueOf).sortedDescending().let { it.getOrNull(it.size / 2) }

/** Whether a newer incarnation of the host of [replica] is a member. */
internal fun Membership.isReplaced(replica: ReplicaId): Boolean =
    roles.keys.any { it.host == replica.host && it.incarnation > replica.incarnation }

/** The membership after [change], or null if the change can't be applied to the replica that it names. */
internal fun Membership.after(change: MembershipChange): Membership? = when (change) {
    is MembershipChange.AddLearner -> withLearner(change.replica)
    is MembershipChange.Promote -> withRole(change.replica, change.role)
    is MembershipChange.Remove -> without(change.replica)
}

// Removes the old incarnation, with its vote, and adds the new one as a learner in the same entry: the set of voters
// changes by one member, so majorities before and after overlap. The learner gets the vote in a second change, once it
// has the log.
private fun Membership.withLearner(replica: ReplicaId): Membership? {
    val older = roles.keys.filter { it.host == replica.host && it != replica }
    return when {
        replica in roles -> this
        isReplaced(replica) || older.size > 1 -> null
        else -> Membership(
            roles - older.toSet() + (replica to ReplicaRole.LEARNER),
            promotions - older.toSet() + older.mapNotNull(::inheritedRole).associateBy { replica },
        )
    }
}

private fun Membership.inheritedRole(replica: ReplicaId): ReplicaRole? =
    promotions[replica] ?: roles[replica]?.takeIf { it != ReplicaRole.LEARNER }

private fun Membership.withRole(replica: ReplicaId, role: ReplicaRole): Membership? =
    if (replica in roles) Membership(roles + (replica to role), promotions - replica) else null

private fun Membership.without(replica: ReplicaId): Membership? =
    if (replica in roles) Membership(roles - replica, promotions - replica) else null
