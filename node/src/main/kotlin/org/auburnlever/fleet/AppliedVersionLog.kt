package org.auburnlever.fleet

import org.auburnlever.host.GroupView
import org.auburnlever.workload.DecisionLogEntry
import org.auburnlever.workload.state.WorkloadState

/** Logs when a version of the desired state takes effect on this control host. Used by the decision thread only. */
internal class AppliedVersionLog(private val decisions: DecisionLog) {
    private var version: Long? = null

    /** Writes a log line if [view] has another version than the last one. */
    fun record(view: GroupView<WorkloadState>) {
        val applied = view.state.catalog?.version
        if (applied == version) return
        version = applied
        val details = mapOf("appliedIndex" to view.appliedIndex, "role" to view.raftRole)
        decisions.write(DecisionLogEntry("configuration_applied", "$applied", details), view.term)
    }
}
