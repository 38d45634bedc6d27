package org.auburnlever.acceptance

import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import org.auburnlever.codec.Codec
import org.auburnlever.standin.EndpointBehaviour
import org.auburnlever.standin.EndpointView
import org.auburnlever.standin.TaskEvent
import org.auburnlever.standin.WorkerBehaviour
import org.auburnlever.standin.WorkerView

/** Reads the state of a stand-in process and changes its behaviour through its control port at [address]. */
class StandInControl(val name: String, val address: String) {
    /** Returns the endpoints of the process. */
    fun endpoints(): List<EndpointView> = read("/control/endpoints", ListSerializer(EndpointView.serializer()))

    /** Returns the workers of the process. */
    fun workers(): List<WorkerView> = read("/control/workers", ListSerializer(WorkerView.serializer()))

    /** Returns every state change of a task on the workers of the process, in order. */
    fun events(): List<TaskEvent> = read("/control/events", ListSerializer(TaskEvent.serializer()))

    /**
     * Returns how often a request ran on the endpoints of the process.
     *
     * [name] is its key, its attempt id or the SHA-256 of its body.
     */
    fun runCount(name: String): Int = send("GET", "/control/runs/$name").body.toInt()

    /** Changes how [endpoint] handles requests. */
    fun setBehaviour(endpoint: String, behaviour: EndpointBehaviour) {
        val json = Codec.json.encodeToString(EndpointBehaviour.serializer(), behaviour)
        send("PUT", "/control/endpoints/$endpoint/behaviour", json)
    }

    /** Changes how [worker] behaves. */
    fun setBehaviour(worker: String, behaviour: WorkerBehaviour) {
        val json = Codec.json.encodeToString(WorkerBehaviour.serializer(), behaviour)
        send("PUT", "/control/workers/$worker/behaviour", json)
    }

    /** Makes [endpoint] announce that it leaves. */
    fun announceLeave(endpoint: String) {
        send("POST", "/control/endpoints/$endpoint/leave")
    }

    private fun <T> read(path: String, serializer: KSerializer<T>): T =
        Codec.json.decodeFromString(serializer, send("GET", path).body)

    private fun send(method: String, path: String, body: String = ""): HttpAnswer {
        val answer = HttpCalls.send(HttpCall(method, address, path, body))
        ensure(answer.status in SUCCESS) { "$method $path on $name: status ${answer.status} ${answer.body}" }
        return answer
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
