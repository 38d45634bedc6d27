package org.auburnlever.fleet

import org.auburnlever.workload.OrderAnswer
import org.auburnlever.workload.WorkerOrder

/** Carries orders to workers. */
fun interface WorkerClient {
    /** Sends [order] once and returns the worker's answer, or [OrderAnswer.Unknown] when none comes in time. */
    suspend fun send(order: WorkerOrder): OrderAnswer
}
