package org.auburnlever.host

import kotlinx.coroutines.CompletableDeferred
import org.auburnlever.codec.Bytes
import org.auburnlever.consensus.MembershipChange
import org.auburnlever.consensus.ReplicaInput

/** An input in the queue of a group's decision thread. */
internal sealed interface GroupInput<S, R> {
    class Replica<S, R>(val input: ReplicaInput) : GroupInput<S, R>

    class Propose<S, R>(val command: Bytes, val result: CompletableDeferred<Submission<R>>) : GroupInput<S, R>

    class Read<S, R>(val result: CompletableDeferred<Submission<S>>) : GroupInput<S, R>

    class Change<S, R>(
        val change: MembershipChange,
        val result: CompletableDeferred<Submission<Unit>>,
    ) : GroupInput<S, R>

    class Task<S, R>(val task: () -> Unit) : GroupInput<S, R>
}

/**
 * Registers the result in [pending] and returns the input for the replica. A task is run at once and gives no input.
 */
internal fun <S, R> GroupInput<S, R>.toReplicaInput(pending: PendingSubmissions<S, R>): ReplicaInput? = when (this) {
    is GroupInput.Replica -> input
    is GroupInput.Propose -> ReplicaInput.Propose(pending.addProposal(result), command)
    is GroupInput.Read -> ReplicaInput.Read(pending.addRead(result))
    is GroupInput.Change -> ReplicaInput.ChangeMembership(pending.addChange(result), change)
    is GroupInput.Task -> {
        task()
        null
    }
}
