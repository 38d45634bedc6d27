package org.auburnlever.consensus

/** What a replica currently does, for status and dumps. */
enum class ReplicaActivity {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
}
