package org.auburnlever.workload.preemption

import org.auburnlever.model.AccountName
import org.auburnlever.workload.SchedulingFeature
import org.auburnlever.workload.Workload
import org.auburnlever.workload.WorkloadLimits
import org.auburnlever.workload.address
import org.auburnlever.workload.catalog
import org.auburnlever.workload.planning.PlanningInput
import org.auburnlever.workload.planning.RunProgress
import org.auburnlever.workload.planning.UrgentDemand
import org.auburnlever.workload.planning.WorkPlan
import org.auburnlever.workload.planning.planWork
import org.auburnlever.workload.queue
import org.auburnlever.workload.ref
import org.auburnlever.workload.report
import org.auburnlever.workload.runs.WorkerView
import org.auburnlever.workload.state.Account
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobPhase
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.QueuePolicy
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.guarantees
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

/** A queue of a deployment's table: jobs of [tasks] tasks of [millis]; [error] is that of declared durations. */
internal class ReplayQueue(
    val perSecond: Double,
    val tasks: Int,
    val millis: Double,
    val need: Resources,
    val error: Double,
    val kind: ReplayKind,
)

/** What the tasks of the urgent, the gang or the batch queue need besides. */
internal enum class ReplayKind(val accelerators: List<Int>, val rackPercent: Int, val checkpointPercent: Int) {
    URGENT(listOf(1, 2, 4, 8), 80, 0),
    GANG(listOf(1, 2, 4, 8, 8), 60, 45),
    BATCH(listOf(1), 0, 45),
}

/** A deployment's table of `docs/hard-load.md`; the queues are the urgent, the gang and the batch queue. */
internal class ReplaySite(
    val capacity: Resources,
    val perRack: Int,
    val speeds: List<Double>,
    val stopMillis: Long,
    val tailPercent: Int,
    val queues: List<ReplayQueue>,
)

internal val SENSORS = ReplaySite(
    capacity = Resources(64_000, 128_000, 8),
    perRack = 12,
    speeds = listOf(1.0, 1.0, 1.3),
    stopMillis = 200,
    tailPercent = 0,
    queues = listOf(
        ReplayQueue(6.61, 5, 2_500.0, Resources(7_500, 15_000, 0), 0.9, ReplayKind.URGENT),
        ReplayQueue(1.55, 13, 6_800.0, Resources(26_000, 38_000, 0), 0.9, ReplayKind.GANG),
        ReplayQueue(1.52, 39, 6_100.0, Resources(5_600, 8_200, 0), 0.2, ReplayKind.BATCH),
    ),
)

internal val LENDING = ReplaySite(
    capacity = Resources(32_000, 64_000, 8),
    perRack = 8,
    speeds = listOf(0.8, 1.0, 1.25),
    stopMillis = 400,
    tailPercent = 3,
    queues = listOf(
        ReplayQueue(6.78, 5, 2_100.0, Resources(3_700, 7_600, 0), 0.5, ReplayKind.URGENT),
        ReplayQueue(1.02, 13, 9_400.0, Resources(13_000, 26_000, 0), 0.2, ReplayKind.GANG),
        ReplayQueue(1.0, 39, 8_100.0, Resources(2_800, 5_700, 0), 0.9, ReplayKind.BATCH),
    ),
)

/** Load pattern of a replay: a wave of all queues, and a burst of the urgent one for 4 s. */
internal class Pattern(
    val wave: Double = 0.0,
    val burst: Double = 1.0,
    val load: Double = 1.0,
    val guaranteedPercent: Int = 62,
    val checkpointPercent: Int? = null,
)

/** What callers got; [overdue] counts guaranteed jobs that did not begin in time. */
internal data class ReplayResult(
    val lostCoreSeconds: Long,
    val urgentOnTime: Double,
    val worth: Double,
    val overdue: Int,
)

/** Replays the load of [site] on the planner in steps of 100 ms; each run ends, or stops, at a drawn time. */
internal class LoadReplay(private val site: ReplaySite, private val pattern: Pattern, feature: Boolean, seed: Int) {
    private class Run(val beginMillis: Long, val endMillis: Long, val restored: Double, val totalMillis: Double) {
        var stoppedMillis: Long? = null

        fun done(nowMillis: Long): Double = restored + maxOf(0L, nowMillis - beginMillis) / totalMillis
    }

    private val random = Random(seed)
    private val stops = Random(seed)
    private val features = if (feature) setOf(SchedulingFeature.PREEMPTION_BUDGET) else emptySet()
    private val limits = WorkloadLimits(stopMillis = site.stopMillis)
    private val workload = Workload(nowMillis = START)
    private val views = List(WORKERS) { index ->
        val report = report("$index", rack = "r${index / site.perRack}").copy(capacity = site.capacity)
        WorkerView(ref("$index"), report, lastContactMillis = Long.MAX_VALUE / 2)
    }
    private val runs = LinkedHashMap<TaskRun, Run>()
    private val actualMillis = HashMap<String, Double>()
    private val saved = HashMap<StepId, Double>()
    private val begun = HashMap<String, Long>()
    private val beyondGuarantee = HashSet<String>()
    private var demand = UrgentDemand()
    private var control = PreemptionControl()
    private var lost = 0.0

    init {
        val objectives = listOf(500L to 1.5, 1_200L to 3.0, 3_000L to 3.0)
        val queues = objectives.mapIndexed { priority, (target, stretch) ->
            queue("q$priority", priority).copy(policy = QueuePolicy(priority, 3, stretch, target))
        }
        val share = WORKERS * site.capacity.accelerators * pattern.guaranteedPercent / 100 / ACCOUNTS
        val accounts = List(ACCOUNTS) { Account(AccountName("a$it"), listOf("k$it"), share) }
        workload.withCatalog(catalog(queues = queues).copy(accounts = accounts))
    }

    fun result(): ReplayResult {
        while (workload.nowMillis < START + LOAD_MILLIS + DRAIN_MILLIS) {
            endRuns()
            if (workload.nowMillis < START + LOAD_MILLIS) site.queues.indices.forEach { arrivals(it) }
            noteGuarantees()
            carryOut(plan())
            workload.nowMillis += STEP
        }
        val jobs = workload.state.jobs.values
        val urgent = jobs.filter { it.policy.priority == 0 }
        val worth = jobs.sumOf { WORTH[it.policy.priority] * served(it) } / jobs.sumOf { WORTH[it.policy.priority] }
        val overdue = urgent.count { job ->
            job.id !in beyondGuarantee && (begun[job.id] ?: Long.MAX_VALUE) > job.acceptedMillis + limits.reclaimMillis
        }
        val onTime = urgent.count { onTime(it) } / urgent.size.toDouble()
        return ReplayResult((lost / MICRO).toLong(), onTime, worth, overdue)
    }

    private fun onTime(job: JobRecord) = job.phase == JobPhase.SUCCEEDED && job.endedMillis <= job.acceptedMillis +
        job.policy.targetLatencyMillis + job.policy.stretch * actualMillis.getValue(job.id)

    private fun served(job: JobRecord): Double = when {
        job.phase != JobPhase.SUCCEEDED -> 0.0
        onTime(job) -> 1.0
        else -> LATE[job.policy.priority] / WORTH[job.policy.priority]
    }

    private fun arrivals(priority: Int) {
        val queue = site.queues[priority]
        val seconds = (workload.nowMillis - START) / 1_000.0
        val wave = 1 + pattern.wave * sin(2 * PI * seconds / 15)
        val burst = if (priority == 0 && seconds >= BURST_AT && seconds < BURST_AT + 4) pattern.burst else 1.0
        var expected = queue.perSecond * pattern.load * wave * burst * STEP / 1_000
        while (random.nextDouble() < expected) {
            submit(priority, queue)
            expected -= 1
        }
    }

    private fun submit(priority: Int, queue: ReplayQueue) {
        val id = "%016x".format(actualMillis.size)
        val tail = if (random.nextInt(100) < site.tailPercent) TAIL else 1.0
        val actual = queue.millis * (1 + random.nextDouble(-0.4, 0.4)) * tail
        actualMillis[id] = actual
        val checkpointPercent = pattern.checkpointPercent?.takeIf { priority > 0 } ?: queue.kind.checkpointPercent
        val step = StepSpec(
            taskCount = maxOf(1, queue.tasks * random.nextInt(50, 151) / 100),
            need = queue.need.copy(accelerators = queue.kind.accelerators.random(random)),
            estimatedMillis = maxOf(100, (actual / tail * (1 + queue.error * random.nextDouble(-1.0, 1.0))).toLong()),
            checkpointing = random.nextInt(100) < checkpointPercent,
            gang = priority < 2,
            rackSensitive = random.nextInt(100) < queue.kind.rackPercent,
        )
        val account = random.nextInt(ACCOUNTS)
        workload.apply(WorkloadCommand.AcceptJob(address("q$priority", id, "k$account"), JobSpec("", listOf(step))))
    }

    /** Excludes the jobs whose account needs more than its guarantee before they begin. */
    private fun noteGuarantees() {
        val active = workload.state.jobs.values.filter { it.phase == JobPhase.ACTIVE && it.policy.priority == 0 }
        for ((account, ofAccount) in active.groupBy { it.account }) {
            val need = ofAccount.sumOf { job -> job.spec.steps.sumOf { it.taskCount * it.need.accelerators } }
            if (need > workload.state.guarantees().getValue(account!!)) {
                beyondGuarantee += ofAccount.map { it.id }.filter { it !in begun }
            }
        }
    }

    private fun plan(): WorkPlan {
        val jobs = workload.state.jobs.values
        val now = workload.nowMillis
        demand = demand.observed(jobs, now)
        control = control.updated(jobs, views, now)
        val listed = runs.filterValues { now - it.beginMillis >= REPORT_LAG }
        val input = PlanningInput(
            jobs = jobs,
            workers = views,
            stopping = runs.filterValues { it.stoppedMillis != null }.keys,
            progress = listed.mapValues { (_, run) -> RunProgress(minOf(100, (run.done(now) * 100).toInt()), now) },
            guarantees = workload.state.guarantees(),
            urgentReserve = demand.reserve(jobs),
            limits = limits,
            features = features,
            preemption = control,
        )
        return planWork(input, now).also { control = control.after(it) }
    }

    private fun carryOut(plan: WorkPlan) {
        val now = workload.nowMillis
        plan.preempted.forEach { runs.getValue(it).stoppedMillis = now + stops.nextLong(100, site.stopMillis + 100) }
        workload.apply(WorkloadCommand.Assign(plan.assignments))
        for (assignment in plan.assignments) {
            val spec = workload.job(assignment.step.job).spec.steps.first()
            val racks = assignment.workers.values.map { it.id.toInt() / site.perRack }.distinct().size
            val slow = if (spec.rackSensitive && racks > 1) 3.0 else 1.0
            val speeds = assignment.workers.mapValues { site.speeds[it.value.id.toInt() % site.speeds.size] }
            val restored = saved[assignment.step]?.takeIf { spec.checkpointing } ?: 0.0
            if (assignment.workers.size == spec.taskCount) begun.putIfAbsent(assignment.step.job, now + START_DELAY)
            for (index in assignment.workers.keys) {
                val speed = if (spec.gang) speeds.values.min() else speeds.getValue(index)
                val total = actualMillis.getValue(assignment.step.job) * slow / speed
                val begin = now + START_DELAY + if (restored > 0) RESTORE else 0L
                val end = begin + (total * (1 - restored)).toLong()
                runs[TaskRun(assignment.step.task(index), assignment.run)] = Run(begin, end, restored, total)
            }
        }
    }

    private fun endRuns() {
        val now = workload.nowMillis
        val ended = runs.filterValues { minOf(it.endMillis, it.stoppedMillis ?: Long.MAX_VALUE) <= now }
        val ends = ended.map { (id, run) ->
            runs -= id
            val spec = workload.job(id.task.job).spec.steps.first()
            val stopped = run.stoppedMillis?.takeIf { it < run.endMillis }
            if (stopped != null) discard(id, run, spec, stopped)
            val kind = if (stopped != null) EndKind.STOPPED else EndKind.DONE
            RunEnd(id, kind, if (stopped != null && spec.checkpointing) "saved" else "")
        }
        if (ends.isNotEmpty()) workload.apply(WorkloadCommand.RecordEnds(ends))
    }

    private fun discard(id: TaskRun, run: Run, spec: StepSpec, stopped: Long) {
        val worked = maxOf(0, stopped - run.beginMillis)
        val discarded = if (spec.checkpointing) worked % 1_000 else worked
        if (spec.gang && spec.checkpointing) saved[id.task.stepId] = run.done(stopped - discarded)
        lost += discarded.toDouble() * spec.reserved.weightMilliCores
    }

    private companion object {
        const val START = 1_000_000L
        const val STEP = 100L
        const val WORKERS = 246
        const val ACCOUNTS = 10
        const val LOAD_MILLIS = 35_000L
        const val DRAIN_MILLIS = 30_000L
        const val BURST_AT = 16
        const val TAIL = 7.0
        const val START_DELAY = 150L
        const val RESTORE = 350L
        const val REPORT_LAG = 1_000L
        const val MICRO = 1e6
        val WORTH = listOf(4.0, 3.0, 1.0)
        val LATE = listOf(0.8, 0.9, 0.3)
    }
}
