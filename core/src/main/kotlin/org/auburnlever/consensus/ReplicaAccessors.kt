package org.auburnlever.consensus

/** The replica's Raft role in its term. */
val ReplicaState.raftRole: RaftRole
    get() = when (roleState) {
        is RaftRoleState.Follower -> RaftRole.FOLLOWER
        is RaftRoleState.PreCandidate -> RaftRole.PRE_CANDIDATE
        is RaftRoleState.Candidate -> RaftRole.CANDIDATE
        is RaftRoleState.Leader -> RaftRole.LEADER
    }

/** Whether the replica is leader; an isolated one may stay so for one election timeout. */
val ReplicaState.isLeader: Boolean get() = roleState is RaftRoleState.Leader

/** The leader of the term, itself included; null if none is known. */
val ReplicaState.leader: ReplicaId?
    get() = when (roleState) {
        is RaftRoleState.Follower -> roleState.leader
        is RaftRoleState.Leader -> id
        else -> null
    }

/** The newest membership in the log, committed or not. */
val ReplicaState.membership: Membership get() = log.newestMembership.membership

/** The newest membership that this replica knows to be committed. */
val ReplicaState.committedMembership: Membership get() = log.membershipAt(commitIndex).membership

/** The replica's role in [membership]; null if it is not a member and [MembershipChange.AddLearner] must admit it. */
val ReplicaState.role: ReplicaRole? get() = membership.roles[id]

/** Index of the last entry in the log, committed or not. */
val ReplicaState.lastIndex: Long get() = log.lastIndex

/** Last index of the stored snapshot; 0 without one. */
val ReplicaState.snapshotIndex: Long get() = snapshot?.lastIndex ?: 0

/** Whether the driver should serialize the state machine and pass [ReplicaInput.SnapshotTaken]. */
val ReplicaState.snapshotDue: Boolean
    get() = commitIndex - snapshotIndex >= settings.snapshotAfterEntries ||
        bytesSinceSnapshot >= settings.snapshotAfterBytes

/** Replication progress of each peer; empty unless the replica is leader. */
val ReplicaState.peers: Map<ReplicaId, PeerProgress> get() = (roleState as? RaftRoleState.Leader)?.peers.orEmpty()
