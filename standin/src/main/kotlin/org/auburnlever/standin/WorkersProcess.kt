package org.auburnlever.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.util.EventLoopGroups
import com.linecorp.armeria.server.ServerBuilder
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.builtins.ListSerializer
import java.util.concurrent.Executors

/** Runs several stand-in workers in one process, with one control server and one list of task events for all. */
internal class WorkersProcess(
    settings: List<WorkerSettings>,
    entryAddresses: List<String>,
    token: String,
    controlPort: Int,
    behaviour: WorkerBehaviour,
) {
    private val log = KotlinLogging.logger {}
    private val eventLoops = EventLoopGroups.newEventLoopGroup(1)
    private val clientFactory = createClientFactory()
    private val workerDispatcher = Executors.newSingleThreadExecutor { Thread(it, "workers") }.asCoroutineDispatcher()
    private val scope = CoroutineScope(workerDispatcher + Job())
    private val events = ArrayDeque<TaskEvent>()
    private val workers = settings.associate {
        it.name to StandInWorker(
            it,
            EntryClient(entryAddresses, token, clientFactory, HEARTBEAT_TIMEOUT_MILLIS),
            ::record,
        ).apply {
            setBehaviour(behaviour)
        }
    }
    private val control = ControlServer(controlPort, eventLoops) { routes() }

    /** Port of the control server. */
    val controlPort: Int get() = control.port

    /** Opens the control port and begins to send heartbeats. */
    fun start() {
        control.start()
        workers.values.forEach { worker -> scope.launch { worker.run(scope) } }
        log.info { "started ${workers.size} stand-in workers; control port ${control.port}" }
    }

    /** Stops all tasks, reports that in one last heartbeat of each worker, and closes. */
    fun shutDown() = runBlocking {
        withContext(workerDispatcher) { workers.values.forEach { it.shutDown() } }
        withTimeoutOrNull(FINAL_HEARTBEAT_TIMEOUT_MILLIS) {
            withContext(workerDispatcher) { workers.values.map { worker -> launch { worker.sendHeartbeat() } } }
        }
        close()
        log.info { "stopped" }
    }

    /** Closes without a last heartbeat, as when the process is killed. */
    fun close() {
        scope.cancel()
        control.stop()
        clientFactory.closeAsync()
        eventLoops.shutdownGracefully()
        workerDispatcher.close()
    }

    private fun record(event: TaskEvent) {
        if (events.size >= MAX_EVENTS) events.removeFirst()
        events.addLast(event)
    }

    private fun ServerBuilder.routes() {
        service("/control/workers") { _, _ ->
            onWorkerThread { jsonResponse(ListSerializer(WorkerView.serializer()), workers.values.map { it.view() }) }
        }
        service("/control/events") { _, _ ->
            onWorkerThread { jsonResponse(ListSerializer(TaskEvent.serializer()), events.toList()) }
        }
        route().put("/control/workers/{name}/behaviour").build { ctx, req ->
            val worker = workers[ctx.pathParam("name")]
            applyJson(req, WorkerBehaviour.serializer()) { behaviour ->
                worker?.let { scope.launch { it.setBehaviour(behaviour) } }?.let { }
            }
        }
    }

    private fun onWorkerThread(answer: () -> HttpResponse): HttpResponse =
        HttpResponse.of(scope.future { answer() })

    private companion object {
        /** Entry hosts may hold an answer for 1 s. */
        const val HEARTBEAT_TIMEOUT_MILLIS = 1_600L
        const val FINAL_HEARTBEAT_TIMEOUT_MILLIS = 500L
        const val MAX_EVENTS = 50_000
    }
}
