package org.auburnlever.workload

import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import org.auburnlever.model.ServiceName
import org.auburnlever.workload.runs.WorkerReport
import org.auburnlever.workload.state.Account
import org.auburnlever.workload.state.Assignment
import org.auburnlever.workload.state.Catalog
import org.auburnlever.workload.state.CatalogService
import org.auburnlever.workload.state.EndKind
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobRecord
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.Queue
import org.auburnlever.workload.state.QueuePolicy
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.RunEnd
import org.auburnlever.workload.state.StepId
import org.auburnlever.workload.state.StepSpec
import org.auburnlever.workload.state.TaskId
import org.auburnlever.workload.state.TaskRun
import org.auburnlever.workload.state.WorkerRef
import org.auburnlever.workload.state.WorkloadCommand
import org.auburnlever.workload.state.WorkloadReply
import org.auburnlever.workload.state.WorkloadState
import org.auburnlever.workload.state.apply

internal val SERVICE = ServiceName("tag")

internal fun queue(name: String, priority: Int, maxAttempts: Int = 3) = Queue(
    name = name,
    host = "jobs.example",
    pathPrefix = "/$name/",
    service = SERVICE,
    public = false,
    policy = QueuePolicy(priority, maxAttempts, stretch = 2.0, targetLatencyMillis = 1_000),
)

private val QUEUES = listOf(queue("urgent", 0), queue("routine", 2))

internal fun catalog(version: Long = 1, queues: List<Queue> = QUEUES) = Catalog(
    version = version,
    queues = queues,
    services = listOf(CatalogService(SERVICE, enforcesCapacity = true)),
    accounts = listOf(Account(AccountName("pier"), listOf("key-1"), guaranteedAccelerators = 8)),
)

internal fun address(queue: String, id: String, key: String? = "key-1") = JobAddress("jobs.example", "/$queue/$id", key)

internal fun step(
    tasks: Int,
    accelerators: Int = 1,
    gang: Boolean = false,
    rackSensitive: Boolean = false,
    dependsOn: List<Int> = emptyList(),
) = StepSpec(
    taskCount = tasks,
    need = Resources(milliCores = 1_000, memoryMiB = 1_000, accelerators = accelerators),
    estimatedMillis = 2_000,
    dependsOn = dependsOn,
    gang = gang,
    rackSensitive = rackSensitive,
)

internal fun ref(id: String) = WorkerRef(id, startMillis = 1, address = "10.0.0.1:$id")

internal fun report(
    id: String,
    rack: String = "r1",
    draining: Boolean = false,
    sequence: Long = 1,
    startMillis: Long = 1,
) = WorkerReport(
    ref = ref(id).copy(startMillis = startMillis),
    service = SERVICE,
    failureDomain = DomainName("a"),
    draining = draining,
    capacity = Resources(milliCores = 128_000, memoryMiB = 512_000, accelerators = 8),
    labels = listOf("k", rack),
    clockMillis = 99_000,
    sequence = sequence,
)

/** Holds a workload state and applies commands to it, at the time [nowMillis]. */
internal class Workload(var nowMillis: Long = 1_000) {
    var state = WorkloadState()
        private set

    fun apply(command: WorkloadCommand): WorkloadReply {
        val applied = state.apply(command, nowMillis)
        state = applied.state
        return applied.reply
    }

    /** Continues with [restored], as a replica does after a restart. */
    fun restore(restored: WorkloadState) {
        state = restored
    }

    fun withCatalog(catalog: Catalog = catalog()) = apply {
        apply(WorkloadCommand.ChangeCatalog(catalog, "document ${catalog.version}"))
    }

    fun submit(queue: String, id: String, vararg steps: StepSpec) =
        apply(WorkloadCommand.AcceptJob(address(queue, id), JobSpec("payload", steps.toList())))

    fun assign(job: String, run: Int, workers: Map<Int, String>, step: Int = 0) = apply(
        WorkloadCommand.Assign(listOf(Assignment(StepId(job, 0, step), run, workers.mapValues { ref(it.value) }))),
    )

    fun end(job: String, index: Int, run: Int, kind: EndKind, checkpoint: String = "") =
        apply(WorkloadCommand.RecordEnds(listOf(RunEnd(TaskRun(TaskId(job, 0, 0, index), run), kind, checkpoint))))

    fun job(id: String): JobRecord = state.jobs.getValue(id)
}
