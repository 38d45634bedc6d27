package org.auburnlever.workload

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** What a [Coordinator] asks its driver to do. */
sealed interface CoordinatorEffect {
    /** Propose [command]; the result comes back with [Coordinator.applied] or [Coordinator.notApplied]. */
    data class Propose(val command: WorkloadCommand, val tag: ProposalTag) : CoordinatorEffect

    /** Send [order]; the answer comes back with [Coordinator.answered]. */
    data class Order(val order: WorkerOrder) : CoordinatorEffect

    /** Tell the log what was decided and why. */
    data class Note(val note: DecisionNote) : CoordinatorEffect
}

/** What a proposal was made for. */
sealed interface ProposalTag {
    data class Assign(val assignments: List<Assignment>) : ProposalTag

    /** Ends of a worker up to [throughEnd]; 0 when they come from no list. */
    data class Ends(val workerId: String?, val throughEnd: Long, val runs: List<TaskRun>) : ProposalTag

    data object Housekeeping : ProposalTag
}

/** One decision for the log: what it concerns, what it was based on, and the outcome. */
data class DecisionNote(val event: String, val id: String, val details: Map<String, Any?>)

/**
 * The leader's decisions about workers: who may work, which tasks start and stop, which runs have ended.
 *
 * It does no input or output. The driver calls it from one thread with the present time, and carries out the effects
 * in order. The state in memory is learned anew after each election; [term] fences the orders of earlier leaders.
 */
class Coordinator(
    private val term: Long,
    electedMillis: Long,
    private val limits: WorkloadLimits,
) {
    private var workers: PersistentMap<String, WorkerView> = persistentMapOf()
    private var runs: PersistentMap<TaskRun, RunView> = persistentMapOf()
    private var settling: PersistentSet<TaskRun> = persistentSetOf()
    private var demand = UrgentDemand()
    private var assigning = false
    private var nextPlanMillis = electedMillis + limits.reportMillis / 2
    private var nextForgetMillis = electedMillis
    private var nextReviewMillis = electedMillis + REVIEW_INTERVAL_MILLIS
    private val electionLeaseEndMillis = electedMillis + limits.leaseSafeMillis
    private val effects = ArrayList<CoordinatorEffect>()

    /** The workers as they are known now. */
    val workerViews: Collection<WorkerView> get() = workers.values

    /** Takes a worker's report; an older one than the newest known is ignored. */
    fun reported(report: WorkerReport, nowMillis: Long): List<CoordinatorEffect> = collect {
        val known = workers[report.ref.id]
        val older = known != null && known.isNewerThan(report)
        if (!older) {
            val reborn = known == null || known.ref.bornMillis != report.ref.bornMillis
            val base = if (known == null || reborn) freshView(report.ref) else known
            val wasDraining = known?.report?.draining ?: false
            val updated = base.copy(ref = report.ref, report = report, heardMillis = nowMillis, leftMillis = null)
                .clockSeen(report.clockMillis, nowMillis)
            put(updated)
            if (reborn || report.draining != wasDraining) noteReport(report, reborn)
        }
    }

    /** The worker [workerId] said that it ends. */
    fun left(workerId: String, nowMillis: Long): List<CoordinatorEffect> = collect {
        val known = workers[workerId] ?: return@collect
        put(known.copy(leftMillis = nowMillis))
        note("worker_left", workerId)
    }

    /** Takes the answer to [order], which was sent at [sentMillis]. */
    fun answered(
        state: WorkloadState,
        order: WorkerOrder,
        answer: OrderAnswer,
        sentMillis: Long,
        nowMillis: Long,
    ): List<CoordinatorEffect> = collect {
        noteCall(order.worker, answer, nowMillis)
        when (order) {
            is WorkerOrder.Start -> startAnswered(order, answer, nowMillis)
            is WorkerOrder.Stop -> stopAnswered(order, answer, nowMillis)
            is WorkerOrder.Look -> lookAnswered(state, order, answer, sentMillis, nowMillis)
        }
    }

    /** The command of a proposal was applied with [reply]. */
    fun applied(state: WorkloadState, tag: ProposalTag, reply: WorkloadReply, nowMillis: Long): List<CoordinatorEffect> =
        collect {
            when (tag) {
                is ProposalTag.Assign -> {
                    assigning = false
                    nextPlanMillis = nowMillis
                    (reply as? WorkloadReply.Assigned)?.runs?.forEach { start(state, it, nowMillis) }
                }
                is ProposalTag.Ends -> {
                    endsApplied(tag)
                    nextPlanMillis = nowMillis
                }
                ProposalTag.Housekeeping -> Unit
            }
        }

    /** A proposal was refused or its outcome is not known; what it was for is tried again. */
    fun notApplied(tag: ProposalTag, nowMillis: Long): List<CoordinatorEffect> = collect {
        when (tag) {
            is ProposalTag.Assign -> {
                assigning = false
                nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS
            }
            is ProposalTag.Ends -> {
                settling = settling.removeAll(tag.runs)
                tag.workerId?.let { id -> workers[id]?.let { put(it.copy(endsInFlight = 0)) } }
            }
            ProposalTag.Housekeeping -> Unit
        }
    }

    /** Jobs or the desired state changed, so a plan is due. */
    fun changed(nowMillis: Long) {
        nextPlanMillis = minOf(nextPlanMillis, nowMillis)
    }

    /**
     * Does what is due: looks at workers, stops runs that must not go on, gives up lost ones, and plans.
     * [confirmedMillis] is when a majority last confirmed the leadership; leases are counted from there.
     */
    fun tick(state: WorkloadState, confirmedMillis: Long, nowMillis: Long): List<CoordinatorEffect> = collect {
        adoptRuns(state)
        val leads = nowMillis - confirmedMillis <= CONFIRMATION_LIMIT_MILLIS
        if (leads) {
            stopUnwanted(state, nowMillis)
            lookAtWorkers(confirmedMillis, nowMillis)
        }
        giveUpLost(nowMillis)
        if (leads && !assigning && nowMillis >= nextPlanMillis) plan(state, nowMillis)
        if (nowMillis >= nextReviewMillis) review(nowMillis)
        if (nowMillis >= nextForgetMillis) forgetEndedJobs(nowMillis)
    }

    private fun WorkerView.isNewerThan(report: WorkerReport): Boolean {
        val newest = this.report ?: return false
        return newest.ref.bornMillis > report.ref.bornMillis ||
            newest.ref.bornMillis == report.ref.bornMillis && newest.sequence >= report.sequence
    }

    private fun freshView(ref: WorkerRef) = WorkerView(ref = ref, leaseEndMillis = electionLeaseEndMillis)

    private fun WorkerView.clockSeen(shownMillis: Long, nowMillis: Long): WorkerView =
        if (clockAtMillis == 0L || shownMillis > clockNowMillis(nowMillis)) {
            copy(clockMillis = shownMillis, clockAtMillis = nowMillis)
        } else {
            this
        }

    private fun noteReport(report: WorkerReport, reborn: Boolean) = note(
        if (reborn) "worker_joined" else "worker_state",
        report.ref.id,
        "address" to report.ref.address,
        "draining" to report.draining,
        "sequence" to report.sequence,
    )

    private fun noteCall(ref: WorkerRef, answer: OrderAnswer, nowMillis: Long) {
        val known = workers[ref.id]?.takeIf { it.ref.bornMillis == ref.bornMillis } ?: return
        val updated = when (answer) {
            is OrderAnswer.Done -> known.heard(answer.clockMillis, nowMillis)
            is OrderAnswer.Listed -> known.heard(answer.clockMillis, nowMillis)
            is OrderAnswer.Refused -> known.copy(heardMillis = nowMillis, failedCalls = 0)
            OrderAnswer.OtherLife -> known.copy(leftMillis = known.leftMillis ?: nowMillis)
            is OrderAnswer.Unknown -> known.copy(failedCalls = known.failedCalls + 1)
        }
        if (known.failedCalls == 0 && updated.failedCalls > 0) note("worker_unreachable", ref.id, "error" to "$answer")
        if (known.failedCalls > 0 && updated.failedCalls == 0) note("worker_reachable", ref.id)
        put(updated)
    }

    private fun WorkerView.heard(shownMillis: Long, nowMillis: Long): WorkerView =
        copy(heardMillis = maxOf(heardMillis, nowMillis), failedCalls = 0).clockSeen(shownMillis, nowMillis)

    private fun start(state: WorkloadState, run: TaskRun, nowMillis: Long) {
        val job = state.jobs[run.task.job] ?: return
        val task = job.task(run.task) ?: return
        val ref = task.worker?.takeIf { task.run == run.run } ?: return
        val view = workers[ref.id] ?: freshView(ref)
        runs = runs.put(run, RunView(ref, answeredMillis = null, progressMillis = nowMillis))
        put(view.copy(leaseEndMillis = nowMillis + limits.leaseSafeMillis))
        val deadlineMillis = view.clockNowMillis(nowMillis) + limits.leaseMillis
        order(WorkerOrder.Start(ref, term, run, job.spec.payload, task.checkpoint, deadlineMillis))
        note("task_started", run.toString(), "worker" to ref.id, "queue" to job.queue, "checkpoint" to task.checkpoint)
    }

    private fun startAnswered(order: WorkerOrder.Start, answer: OrderAnswer, nowMillis: Long) {
        val view = runs[order.run] ?: return
        runs = runs.put(order.run, view.copy(answeredMillis = nowMillis))
        val refused = answer as? OrderAnswer.Refused ?: return
        note("start_refused", order.run.toString(), "worker" to order.worker.id, "reason" to refused.reason)
        if (refused.reason == RefusalReason.UNHEALTHY) suspendWorker(order.worker, nowMillis)
        if (refused.reason in NOT_BEGUN) recordEnds(listOf(RunEnd(order.run, EndKind.LOST, checkpoint = "")))
    }

    private fun stopAnswered(order: WorkerOrder.Stop, answer: OrderAnswer, nowMillis: Long) {
        val view = runs[order.run] ?: return
        // An outdated run has ended or was stopped before, so it can't begin any more either.
        val certain = answer is OrderAnswer.Done || answer == OrderAnswer.Refused(RefusalReason.OUTDATED)
        if (certain) runs = runs.put(order.run, view.copy(stopAnsweredMillis = nowMillis))
    }

    private fun lookAnswered(
        state: WorkloadState,
        order: WorkerOrder.Look,
        answer: OrderAnswer,
        sentMillis: Long,
        nowMillis: Long,
    ) {
        val view = workers[order.worker.id] ?: return
        val pauseMillis = if (answer is OrderAnswer.Listed) 0 else FAILED_LOOK_PAUSE_MILLIS
        put(view.copy(holdSentMillis = null, nextHoldMillis = nowMillis + pauseMillis))
        if (answer is OrderAnswer.Listed) {
            if (rebornSince(order.worker, answer)) return
            confirmEnds(order)
            takeEnds(order.worker, answer, nowMillis)
            takeActive(state, order.worker, answer, nowMillis)
            findMissing(order.worker, answer, sentMillis, nowMillis)
        }
    }

    /**
     * Whether the answer comes from a later life of the worker than the one that was meant. Its lists begin anew, so
     * nothing of the earlier life is read from them.
     */
    private fun rebornSince(meant: WorkerRef, listed: OrderAnswer.Listed): Boolean {
        val bornMillis = listed.bornMillis ?: return false
        if (bornMillis <= meant.bornMillis) return false
        val known = workers[meant.id]
        if (known == null || known.ref.bornMillis < bornMillis) put(freshView(meant.copy(bornMillis = bornMillis)))
        note("worker_reborn", meant.id, "bornMillis" to bornMillis)
        return true
    }

    private fun confirmEnds(order: WorkerOrder.Look) {
        val view = workers[order.worker.id] ?: return
        put(view.copy(looked = true, confirmedEnd = maxOf(view.confirmedEnd, order.acknowledgedEnd)))
    }

    private fun takeEnds(worker: WorkerRef, listed: OrderAnswer.Listed, nowMillis: Long) {
        val view = workers[worker.id] ?: return
        val fresh = listed.ended.filter { it.number > maxOf(view.acknowledgedEnd, view.endsInFlight) }
        if (fresh.isEmpty()) return
        val through = fresh.maxOf { it.number }
        put(view.judged(fresh.map { it.end }, nowMillis).copy(endsInFlight = through))
        fresh.forEach { (_, end) -> note("task_ended", end.run.toString(), "worker" to worker.id, "how" to end.kind) }
        recordEnds(fresh.map { it.end }, worker.id, through)
    }

    /** Suspends a worker on which two jobs in a row failed; one job alone may be at fault itself. */
    private fun WorkerView.judged(ends: List<RunEnd>, nowMillis: Long): WorkerView {
        val succeeded = ends.any { it.kind == EndKind.DONE }
        val failed = ends.filter { it.kind == EndKind.FAILED }.map { it.run.task.job }.toSet()
        val jobs = if (succeeded) failed else failedJobs + failed
        val counted = copy(failedJobs = jobs, suspensions = if (succeeded) 0 else suspensions)
        val suspend = !succeeded && failed.isNotEmpty() && jobs.size >= SUSPENDING_FAILURES
        return if (suspend) counted.suspended(nowMillis) else counted
    }

    private fun WorkerView.suspended(nowMillis: Long): WorkerView {
        val untilMillis = nowMillis + (SUSPENSION_MILLIS shl minOf(suspensions, MAX_DOUBLINGS))
        note("worker_suspended", ref.id, "failedJobs" to failedJobs, "untilMillis" to untilMillis)
        return copy(suspendedUntilMillis = untilMillis, suspensions = suspensions + 1)
    }

    private fun suspendWorker(ref: WorkerRef, nowMillis: Long) {
        workers[ref.id]?.let { put(it.suspended(nowMillis)) }
    }

    private fun takeActive(state: WorkloadState, ref: WorkerRef, listed: OrderAnswer.Listed, nowMillis: Long) {
        for (active in listed.active) {
            val task = state.task(active.run.task)
            val wanted = task?.phase == TaskPhase.ASSIGNED && task.run == active.run.run && task.worker?.id == ref.id
            val view = runs[active.run]
            if (!wanted) {
                order(WorkerOrder.Stop(ref, term, active.run))
                note("stray_stopped", active.run.toString(), "worker" to ref.id)
            } else if (view != null) {
                runs = runs.put(active.run, view.seen(active, nowMillis))
            }
        }
    }

    private fun RunView.seen(active: ActiveRun, nowMillis: Long) = copy(
        answeredMillis = answeredMillis ?: nowMillis,
        percent = active.percent,
        progressMillis = if (active.percent != percent) nowMillis else progressMillis,
        checkpoint = active.checkpoint.ifEmpty { checkpoint },
        missingSinceMillis = null,
    )

    /** Finds runs that a look did not list although their start was answered before it was sent. */
    private fun findMissing(ref: WorkerRef, listed: OrderAnswer.Listed, sentMillis: Long, nowMillis: Long) {
        val listedRuns = listed.active.map { it.run }.toSet() + listed.ended.map { it.end.run }
        val missing = runs.filter { (run, view) ->
            view.worker.id == ref.id && run !in listedRuns && view.answeredMillis.let { it != null && it < sentMillis }
        }
        missing.forEach { (run, view) ->
            // A run that is being stopped is not listed and takes room until its end is.
            val stopped = view.stopAnsweredMillis.let { it != null && it + limits.stopSafeMillis < sentMillis }
            if (stopped) {
                recordEnds(listOf(RunEnd(run, EndKind.LOST, view.checkpoint)))
                note("task_lost", run.toString(), "worker" to ref.id, "reason" to "not listed after a stop")
            } else {
                runs = runs.put(run, view.copy(missingSinceMillis = view.missingSinceMillis ?: nowMillis))
                stop(run, view, nowMillis)
            }
        }
    }

    private fun endsApplied(tag: ProposalTag.Ends) {
        settling = settling.removeAll(tag.runs)
        val view = tag.workerId?.let { workers[it] } ?: return
        put(view.copy(acknowledgedEnd = maxOf(view.acknowledgedEnd, tag.throughEnd), endsInFlight = 0))
    }

    /** Takes over the runs that an earlier leader assigned. */
    private fun adoptRuns(state: WorkloadState) {
        for (job in state.jobs.values) {
            for ((id, task) in job.assigned()) {
                val run = TaskRun(id, task.run)
                val ref = task.worker
                if (ref != null && run !in runs && run !in settling) {
                    runs = runs.put(run, RunView(ref, answeredMillis = 0, progressMillis = state.nowMillis))
                    if (ref.id !in workers) put(freshView(ref))
                }
            }
        }
        runs = runs.filterAssigned(state)
    }

    private fun PersistentMap<TaskRun, RunView>.filterAssigned(state: WorkloadState): PersistentMap<TaskRun, RunView> {
        val gone = keys.filter { run ->
            val task = state.task(run.task)
            task == null || task.phase != TaskPhase.ASSIGNED || task.run != run.run
        }
        return gone.fold(this) { kept, run -> kept.remove(run) }
    }

    private fun lookAtWorkers(confirmedMillis: Long, nowMillis: Long) {
        val busy = runs.values.map { it.worker.id }.toSet()
        workers.values.filter { view -> view.dueForLook(view.ref.id in busy, nowMillis) }.forEach { view ->
            // A worker that does not answer gets no longer lease, so that its tasks can be given up when it runs out.
            val extends = view.failedCalls == 0
            val ageMillis = nowMillis - confirmedMillis
            val deadlineMillis = view.clockNowMillis(nowMillis) + limits.leaseMillis - ageMillis
            val leaseEndMillis = if (extends) nowMillis + limits.leaseSafeMillis else view.leaseEndMillis
            put(view.copy(holdSentMillis = nowMillis, leaseEndMillis = leaseEndMillis))
            val look = WorkerOrder.Look(
                worker = view.ref,
                fencingToken = term,
                acknowledgedEnd = view.acknowledgedEnd,
                deadlineMillis = deadlineMillis.takeIf { extends },
                waitMillis = if (extends && view.ref.id in busy) LOOK_WAIT_MILLIS else 0,
            )
            order(look)
        }
    }

    /** Busy workers are looked at all the time; others once after an election, after an end, and after a failure. */
    private fun WorkerView.dueForLook(busy: Boolean, nowMillis: Long): Boolean {
        val wanted = busy || endsInFlight > 0 || acknowledgedEnd > confirmedEnd || !looked || failedCalls > 0
        val present = busy || leftMillis == null && nowMillis - heardMillis <= limits.reportLimitMillis
        val free = holdSentMillis.let { it == null || nowMillis - it >= LOOK_LIMIT_MILLIS }
        return wanted && present && free && nowMillis >= nextHoldMillis
    }

    /** Stops the runs of ended jobs and of gangs that have lost a member. */
    private fun stopUnwanted(state: WorkloadState, nowMillis: Long) {
        runs.forEach { (run, view) ->
            val job = state.jobs[run.task.job]
            val broken = job != null && job.isBroken(run.task.stepId)
            if (job == null || job.phase != JobPhase.ACTIVE || broken) stop(run, view, nowMillis)
        }
    }

    private fun JobRecord.isBroken(id: StepId): Boolean {
        val record = step(id) ?: return false
        return spec.steps[id.step].gang &&
            record.tasks.any { it.phase == TaskPhase.ASSIGNED } && record.tasks.any { it.phase == TaskPhase.WAITING }
    }

    private fun stop(run: TaskRun, view: RunView, nowMillis: Long) {
        val due = view.stopSentMillis.let { it == null || nowMillis - it >= STOP_REPEAT_MILLIS }
        if (!due) return
        runs = runs.put(run, (runs[run] ?: view).copy(stopSentMillis = nowMillis))
        order(WorkerOrder.Stop(view.worker, term, run))
        note("task_stopping", run.toString(), "worker" to view.worker.id)
    }

    /** Gives up runs on workers whose lease has run out, or whose life has ended. */
    private fun giveUpLost(nowMillis: Long) {
        val lost = runs.filter { (_, view) -> workers[view.worker.id]?.lost(view.worker, nowMillis) ?: false }
        if (lost.isEmpty()) return
        recordEnds(lost.map { (run, view) -> RunEnd(run, EndKind.LOST, view.checkpoint) })
        lost.forEach { (run, view) -> note("task_lost", run.toString(), "worker" to view.worker.id) }
    }

    private fun WorkerView.lost(ref: WorkerRef, nowMillis: Long): Boolean {
        val silent = failedCalls > 0 && nowMillis >= leaseEndMillis
        val ended = leftMillis.let { it != null && nowMillis - it >= LEAVE_MILLIS && failedCalls > 0 }
        return silent || ended || this.ref.bornMillis > ref.bornMillis
    }

    private fun plan(state: WorkloadState, nowMillis: Long) {
        nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS
        val usable = workers.values.filter { it.usable(nowMillis, limits.reportLimitMillis) }
        val stopping = runs.filterValues { it.stopSentMillis != null }.keys
        demand = demand.observed(state.jobs.values, nowMillis)
        val plan = planWork(state.jobs.values, usable, stopping, demand.reserve(state.jobs.values), nowMillis)
        plan.displaced.forEach { run ->
            runs[run]?.let { stop(run, it, nowMillis) }
            note("task_displaced", run.toString())
        }
        if (plan.assignments.isNotEmpty()) {
            assigning = true
            propose(WorkloadCommand.Assign(plan.assignments), ProposalTag.Assign(plan.assignments))
        }
    }

    /** Logs runs that have been settling for long, so that a job that does not go on can be explained. */
    private fun review(nowMillis: Long) {
        nextReviewMillis = nowMillis + REVIEW_INTERVAL_MILLIS
        runs.filterValues { it.settlesSince(nowMillis - REVIEW_INTERVAL_MILLIS) }.forEach { (run, view) ->
            val worker = workers[view.worker.id]
            note(
                "run_unsettled",
                run.toString(),
                "worker" to view.worker.id,
                "missingForMillis" to view.missingSinceMillis?.let { nowMillis - it },
                "stopSentAgoMillis" to view.stopSentMillis?.let { nowMillis - it },
                "stopAnsweredAgoMillis" to view.stopAnsweredMillis?.let { nowMillis - it },
                "failedCalls" to worker?.failedCalls,
                "leaseLeftMillis" to worker?.let { it.leaseEndMillis - nowMillis },
            )
        }
        if (settling.isNotEmpty()) note("ends_unrecorded", "${settling.size}", "first" to settling.first())
    }

    private fun RunView.settlesSince(sinceMillis: Long): Boolean =
        listOf(missingSinceMillis, stopSentMillis).any { it != null && it <= sinceMillis }

    private fun forgetEndedJobs(nowMillis: Long) {
        nextForgetMillis = nowMillis + FORGET_INTERVAL_MILLIS
        val command = WorkloadCommand.ForgetJobs(nowMillis - limits.jobRetentionMillis)
        propose(command, ProposalTag.Housekeeping)
    }

    private fun recordEnds(ends: List<RunEnd>, workerId: String? = null, throughEnd: Long = 0) {
        val ended = ends.map { it.run }
        settling = settling.addAll(ended)
        runs = ended.fold(runs) { kept, run -> kept.remove(run) }
        propose(WorkloadCommand.RecordEnds(ends), ProposalTag.Ends(workerId, throughEnd, ended))
    }

    private fun put(view: WorkerView) {
        workers = workers.put(view.ref.id, view)
    }

    private fun propose(command: WorkloadCommand, tag: ProposalTag) {
        effects += CoordinatorEffect.Propose(command, tag)
    }

    private fun order(order: WorkerOrder) {
        effects += CoordinatorEffect.Order(order)
    }

    private fun note(event: String, id: String, vararg details: Pair<String, Any?>) {
        effects += CoordinatorEffect.Note(DecisionNote(event, id, details.toMap()))
    }

    private fun collect(decide: () -> Unit): List<CoordinatorEffect> {
        effects.clear()
        decide()
        return effects.toList()
    }

    private companion object {
        /** A plan takes a commit of about 50 ms to take effect; planning more often finds nothing new. */
        const val PLAN_INTERVAL_MILLIS = 250L

        /** Without a confirmation for this time a successor may have been elected; one election timeout. */
        const val CONFIRMATION_LIMIT_MILLIS = 1_000L

        /** A look waits this long for an end; three of them fit into a lease. */
        const val LOOK_WAIT_MILLIS = 1_500L
        const val FAILED_LOOK_PAUSE_MILLIS = 300L

        /** A look whose answer the driver lost is given up; the driver's own limit is less than half of this. */
        const val LOOK_LIMIT_MILLIS = 6_000L

        /** Repeats a stop whose answer was lost; longer than the 900 ms that a worker takes. */
        const val STOP_REPEAT_MILLIS = 1_000L

        /** A worker that said that it ends has ended by then. */
        const val LEAVE_MILLIS = 1_000L
        const val FORGET_INTERVAL_MILLIS = 20_000L
        const val REVIEW_INTERVAL_MILLIS = 4_000L
        const val SUSPENDING_FAILURES = 2

        /** First suspension; as long as a typical disturbance of a worker lasts. */
        const val SUSPENSION_MILLIS = 5_000L
        const val MAX_DOUBLINGS = 3

        /** Refusals after which the run can't begin at the worker. */
        val NOT_BEGUN = setOf(
            RefusalReason.OUTDATED,
            RefusalReason.TOO_LATE,
            RefusalReason.NO_ROOM,
            RefusalReason.NO_TICKET,
            RefusalReason.UNHEALTHY,
            RefusalReason.MALFORMED,
        )
    }
}
