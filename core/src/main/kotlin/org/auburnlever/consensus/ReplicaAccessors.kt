package org.auburnlever.consensus

/** What the replica currently does. */
val ReplicaState.raftRole: RaftRole
    get() = when (roleState) {
        is RaftRoleState.Follower -> RaftRole.FOLLOWER
        is RaftRoleState.PreCandidate -> RaftRole.PRE_CANDIDATE
        is RaftRoleState.Candidate -> RaftRole.CANDIDATE
        is RaftRoleState.Leader -> RaftRole.LEADER
    }

/** Whether the replica leads; an isolated one may still believe so for one election timeout. */
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

/** The newest membership that is known to be committed. */
val ReplicaState.committedMembership: Membership get() = log.membershipAt(commitIndex).membership

/** The replica's role; null if it is no member and has to be admitted with [MembershipChange.AddLearner]. */
val ReplicaState.role: ReplicaRole? get() = membership.roles[id]

/** Index of the last entry in the log, committed or not. */
val ReplicaState.lastIndex: Long get() = log.lastIndex

/** Index up to which a snapshot is stored; 0 without one. */
val ReplicaState.snapshotIndex: Long get() = snapshot?.lastIndex ?: 0

/** Whether the driver should serialize the state machine and pass [ReplicaInput.SnapshotTaken]. */
val ReplicaState.snapshotDue: Boolean
    get() = commitIndex - snapshotIndex >= settings.snapshotAfterEntries ||
        bytesSinceSnapshot >= settings.snapshotAfterBytes

/** What the leader knows of its peers; empty on other replicas. */
val ReplicaState.peers: Map<ReplicaId, PeerProgress> get() = (roleState as? RaftRoleState.Leader)?.peers.orEmpty()
