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

/** Several stand-in workers in one process, with a common control server and a common log of task changes. */
internal class WorkersProcess(
    settings: List<WorkerSettings>,
    entryAddresses: List<String>,
    token: String,
    controlPort: Int,
    behaviour: WorkerBehaviour,
) {
    private val log = KotlinLogging.logger {}
    private val loops = EventLoopGroups.newEventLoopGroup(1)
    private val factory = entryClientFactory()
    private val thread = Executors.newSingleThreadExecutor { Thread(it, "workers") }.asCoroutineDispatcher()
    private val scope = CoroutineScope(thread + Job())
    private val events = ArrayDeque<TaskEvent>()
    private val workers = settings.associate {
        it.name to StandInWorker(it, EntryClient(entryAddresses, token, factory, TIMEOUT_MILLIS), ::record).apply {
            behave(behaviour)
        }
    }
    private val control = ControlServer(controlPort, loops) { routes() }

    /** Port of the control server. */
    val controlPort: Int get() = control.port

    /** Opens the control port and begins to send heartbeats. */
    fun start() {
        control.start()
        workers.values.forEach { worker -> scope.launch { worker.run(scope) } }
        log.info { "${workers.size} workers, control port ${control.port}" }
    }

    /** Stops all tasks, reports that once, and ends. */
    fun shutDown() = runBlocking {
        withContext(thread) { workers.values.forEach { it.shutDown() } }
        withTimeoutOrNull(LAST_REPORT_MILLIS) {
            withContext(thread) { workers.values.map { worker -> launch { worker.beat() } } }
        }
        close()
        log.info { "stopped" }
    }

    /** Ends without a last report, as when the process is killed. */
    fun close() {
        scope.cancel()
        control.stop()
        factory.closeAsync()
        loops.shutdownGracefully()
        thread.close()
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
            onJson(req, WorkerBehaviour.serializer()) { behaviour ->
                worker?.let { scope.launch { it.behave(behaviour) } }?.let { }
            }
        }
    }

    private fun onWorkerThread(answer: () -> HttpResponse): HttpResponse =
        HttpResponse.of(scope.future { answer() })

    private companion object {
        /** An answer may be held for 1 s. */
        const val TIMEOUT_MILLIS = 1_600L
        const val LAST_REPORT_MILLIS = 500L
        const val MAX_EVENTS = 50_000
    }
}
