package org.auburnlever.workload.runs

import org.auburnlever.workload.state.WorkloadState

/**
 * Returns whether [report] can come from a worker of this fleet: its service is one of the active catalog.
 *
 * Others may write reports too, under any id. Such a report with the id of a worker would make it look restarted, and
 * its runs lost. Without a catalog nothing runs, so all reports are taken.
 */
fun WorkloadState.takes(report: WorkerReport): Boolean =
    catalog?.services?.any { it.name == report.service } ?: true
