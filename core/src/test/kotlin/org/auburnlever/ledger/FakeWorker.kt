package org.auburnlever.ledger

import org.auburnlever.model.DomainName
import org.auburnlever.model.RackName
import org.auburnlever.model.WorkerName
import org.auburnlever.wire.TaskOrder
import org.auburnlever.wire.TaskReport
import org.auburnlever.wire.TaskStatus
import org.auburnlever.wire.WorkerHeartbeat

internal data class FakeTask(val token: Long, val accelerators: List<Int>, val status: TaskStatus, val endMillis: Long)

/** A worker that follows the protocol: leases, fencing tokens, and reports that are repeated until a forget order. */
internal class FakeWorker(
    val name: WorkerName,
    private val rack: RackName,
    private val position: Int,
    private val accelerators: Int,
    private val observer: TaskObserver,
) {
    var online = true
    var failsStarts = false
    var draining = false
    private var epochMillis = 1L
    private var sequence = 0L
    private var leaseEndMillis = 0L
    private val newestToken = mutableMapOf<String, Long>()
    val tasks = linkedMapOf<TaskRef, FakeTask>()

    fun heartbeat(): WorkerHeartbeat {
        sequence++
        val reports = tasks.map { (ref, task) ->
            val result = "r${ref.taskIndex}".takeIf { task.status == TaskStatus.COMPLETED }
            TaskReport(ref.jobId, ref.taskIndex, task.token, task.status, checkpointAgeMillis = 500, result = result)
        }
        return WorkerHeartbeat(
            worker = name,
            failureDomain = DOMAIN,
            rack = rack,
            positionInRack = position,
            epochMillis = epochMillis,
            sequence = sequence,
            acceleratorCount = accelerators,
            cores = 128,
            memoryMiB = 512_000,
            tasks = reports,
            draining = draining,
        )
    }

    fun restart() {
        epochMillis++
        sequence = 0
        tasks.clear()
        newestToken.clear()
    }

    fun receiveOrders(orders: List<TaskOrder>, sentMillis: Long, nowMillis: Long) {
        leaseEndMillis = sentMillis + LEASE_MILLIS
        orders.forEach { execute(it, nowMillis) }
    }

    /** Ends tasks that completed, failed or lost the lease by [nowMillis]. */
    fun updateTasks(nowMillis: Long) = tasks.keys.toList().forEach { ref ->
        val task = tasks.getValue(ref)
        val status = when {
            task.status != TaskStatus.RUNNING && task.status != TaskStatus.RESERVED -> task.status
            nowMillis > leaseEndMillis -> TaskStatus.STOPPED
            task.status == TaskStatus.RUNNING && failsStarts -> TaskStatus.FAILED
            task.status == TaskStatus.RUNNING && nowMillis >= task.endMillis -> TaskStatus.COMPLETED
            else -> task.status
        }
        tasks[ref] = task.copy(status = status)
    }

    private fun execute(order: TaskOrder, nowMillis: Long) {
        val newest = maxOf(newestToken[order.jobId] ?: 0, order.token)
        if (order.token < newest && order !is TaskOrder.Forget && order !is TaskOrder.Stop) return
        newestToken[order.jobId] = newest
        val ref = TaskRef(order.jobId, order.taskIndex)
        val task = tasks[ref]?.takeIf { it.token == order.token }
        when (order) {
            is TaskOrder.Reserve ->
                if (task == null) tasks[ref] = FakeTask(order.token, order.accelerators, TaskStatus.RESERVED, 0)
            is TaskOrder.Start -> if (task?.status == TaskStatus.RESERVED) start(ref, task, nowMillis)
            is TaskOrder.Stop -> stop(ref, order.token)
            is TaskOrder.Forget -> if (task != null) tasks.remove(ref)
            is TaskOrder.Throttle -> Unit
        }
    }

    private fun start(ref: TaskRef, task: FakeTask, nowMillis: Long) {
        observer.started(ref)
        val endMillis = nowMillis + observer.runMillis(ref.jobId)
        tasks[ref] = task.copy(status = TaskStatus.RUNNING, endMillis = endMillis)
    }

    /** Stops a task; an unknown task is recorded as stopped, so that a late reserve order has no effect. */
    private fun stop(ref: TaskRef, token: Long) {
        val task = tasks[ref]
        if (task == null) tasks[ref] = FakeTask(token, emptyList(), TaskStatus.STOPPED, 0)
        if (task?.token == token && task.status in setOf(TaskStatus.RUNNING, TaskStatus.RESERVED)) {
            tasks[ref] = task.copy(status = TaskStatus.STOPPED)
        }
    }

    companion object {
        val DOMAIN = DomainName("thies-a")
        private const val LEASE_MILLIS = 10_000L
    }
}

/** Is notified of task starts and supplies the run time of jobs. */
internal interface TaskObserver {
    fun started(ref: TaskRef)

    fun runMillis(jobId: String): Long
}
