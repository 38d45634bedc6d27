package org.auburnlever.ledger

import org.auburnlever.model.WorkerName
import org.auburnlever.wire.JobPhase

/** Checks all invariants, which must hold after each applied command; takes time linear in the size of the state. */
fun LedgerState.checkInvariants(): List<InvariantViolation> =
    checkHoldings() + checkGangs() + checkIndexes() + checkAccounts() + checkGuarantees() + checkClaims()

internal fun violation(rule: String, detail: String) = InvariantViolation(rule, detail)

/** Checks that the mask and the tasks of each worker are exactly those of the tasks that active jobs have on it. */
private fun LedgerState.checkHoldings(): List<InvariantViolation> {
    val found = mutableListOf<InvariantViolation>()
    val masks = mutableMapOf<WorkerName, Long>()
    val tasks = mutableMapOf<WorkerName, MutableSet<TaskRef>>()
    activeJobs().forEach { job ->
        job.tasks.forEachIndexed { index, task ->
            if (!task.state.isFinal) {
                val before = masks[task.placement.worker] ?: 0L
                val mask = task.placement.mask()
                if (before and mask != 0L) {
                    found += violation("accelerators are held once", "${job.jobId}/$index on ${task.placement.worker}")
                }
                masks[task.placement.worker] = before or mask
                tasks.getOrPut(task.placement.worker) { mutableSetOf() } += TaskRef(job.jobId, index)
            }
        }
    }
    workers.values.forEach { worker ->
        val matches = worker.busyMask == (masks[worker.name] ?: 0L) && worker.held == tasks[worker.name].orEmpty()
        if (!matches) found += violation("the tasks of a worker match the jobs", worker.name.value)
        found += worker.checkSizes()
    }
    return found
}

private fun WorkerRecord.checkSizes(): List<InvariantViolation> {
    val emptyButUsed = held.isEmpty() && (usedCores != 0 || usedMemoryMiB != 0L || busyMask != 0L)
    val lostButHeld = lost && held.isNotEmpty()
    return listOfNotNull(
        violation("an empty worker has nothing in use", name.value).takeIf { emptyButUsed },
        violation("a lost worker holds nothing", name.value).takeIf { lostButHeld },
        violation("only existing accelerators are held", name.value).takeIf { busyMask and allMask.inv() != 0L },
    )
}

private fun LedgerState.activeJobs(): List<JobRecord> = jobs.active.map { jobs.all.getValue(it) }

private fun LedgerState.checkGangs(): List<InvariantViolation> = activeJobs().mapNotNull { job ->
    val problem = if (job.tasks.size == job.spec.shape.taskCount) phaseProblem(job) else "a gang has all its tasks"
    problem?.let { violation(it, "${job.jobId} in ${job.phase} with ${job.tasks.map { task -> task.state }}") }
}

private fun phaseProblem(job: JobRecord): String? {
    val states = job.tasks.map { it.state }
    return when (job.phase) {
        JobPhase.STARTING ->
            "a start is ordered only after all tasks are reserved"
                .takeIf { !job.started || states.any { it < TaskState.RESERVED } }
        JobPhase.RUNNING ->
            "a running gang has all its tasks running or completed"
                .takeIf { states.any { it != TaskState.RUNNING && it != TaskState.COMPLETED } }
        JobPhase.STOPPING ->
            "a stopping gang has a cause and unfinished tasks"
                .takeIf { job.stop == null || states.all { it.isFinal } }
        else -> null
    }
}

private fun LedgerState.checkIndexes(): List<InvariantViolation> {
    val counted = jobs.queued.size + jobs.active.size + jobs.done.size
    val misplaced = jobs.all.values.filter { job ->
        (job.phase == JobPhase.QUEUED) != (job.jobId in jobs.queued) ||
            job.isActive != (job.jobId in jobs.active) ||
            (job.phase == JobPhase.DONE) != (job.jobId in jobs.done)
    }
    val incomplete = jobs.all.values.filter { (it.phase == JobPhase.DONE) != (it.outcome != null) }
    val payloads = jobs.all.values.sumOf { it.spec.payload.length.toLong() }
    return misplaced.map { violation("a job is in the index of its phase", it.jobId) } +
        incomplete.map { violation("exactly the done jobs have an outcome", it.jobId) } +
        listOfNotNull(
            violation("indexes cover all jobs", "$counted").takeIf { counted != jobs.all.size },
            violation("payloads add up", "$payloads").takeIf { payloads != jobs.payloadChars },
        )
}

private fun LedgerState.checkAccounts(): List<InvariantViolation> {
    val held = activeJobs().groupBy({ it.account }) { job ->
        job.tasks.count { !it.state.isFinal } * job.spec.shape.acceleratorsPerTask
    }
    return accounts.mapNotNull { (account, record) ->
        val sum = held[account].orEmpty().sum()
        violation("an account's held accelerators add up", "$account: ${record.heldAccelerators} for $sum")
            .takeIf { sum != record.heldAccelerators }
    }
}
