package org.auburnlever.fleet

import org.auburnlever.workload.runs.OrderAnswer
import org.auburnlever.workload.runs.WorkerOrder

/** Sends orders to workers. */
fun interface WorkerClient {
    /** Sends [order] once. Returns the worker's answer, or [OrderAnswer.Unknown] if none arrives in time. */
    suspend fun send(order: WorkerOrder): OrderAnswer
}
