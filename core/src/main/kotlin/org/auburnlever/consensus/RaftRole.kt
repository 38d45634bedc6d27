package org.auburnlever.consensus

/** Raft role of a replica in its term, as status and dumps report it. */
enum class RaftRole {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
}
