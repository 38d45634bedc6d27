package org.auburnlever.fleet

import org.auburnlever.codec.Bytes
import org.auburnlever.codec.Codec
import org.auburnlever.host.Applied
import org.auburnlever.host.StateMachine
import org.auburnlever.workload.state.StampedWorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.apply

/** Applies the log of the workload group, which holds the jobs and the catalog of the desired state. */
internal object WorkloadStateMachine : StateMachine<WorkloadState, WorkloadReply> {
    override val initial = WorkloadState()

    override fun apply(state: WorkloadState, index: Long, command: Bytes): Applied<WorkloadState, WorkloadReply> {
        val stamped = Codec.decode<StampedWorkloadCommand>(command)
        val applied = state.apply(stamped.command, stamped.nowMillis)
        return Applied(applied.state, applied.reply)
    }

    override fun encode(state: WorkloadState): Bytes = Codec.encode(state)

    override fun decode(bytes: Bytes): WorkloadState = Codec.decode(bytes)
}
