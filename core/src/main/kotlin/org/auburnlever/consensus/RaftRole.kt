package org.auburnlever.consensus

/** What a replica currently does, for status and dumps. */
enum class RaftRole {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
}
