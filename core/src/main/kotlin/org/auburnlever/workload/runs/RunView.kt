package org.auburnlever.workload.runs

import org.auburnlever.workload.state.CrashTiming
import org.auburnlever.workload.state.WorkerRef

/**
 * The leader's volatile knowledge of an assigned run.
 *
 * @property answeredMillis when the start was answered or timed out; null while an answer is awaited
 * @property startToken fencing token of the start; 0 for an adopted run, whose start had the token of an earlier leader
 * @property unanswered whether the start was given up without an answer, so that it may be carried out later
 * @property begun whether the incarnation [worker] is known to have carried out the start, so that no later one can
 * @property startedMillis when the start was ordered, or assigned for an adopted run
 * @property adopted whether an earlier leader ordered the start
 * @property listedMillis when a poll last listed the run as active; null if none did
 * @property crash set if the worker restarted while the start was in flight, which it may have crashed
 * @property missingSinceMillis when a poll first did not list the run; null while it is listed
 * @property stopAnsweredMillis when the worker confirmed a stop, after which the run can't begin any more
 * @property stopSentMillis when the newest stop was sent
 * @property stoppingSinceMillis when the first stop was sent
 * @property stopReason why the first stop was sent
 * @property progressMillis when [percent] last changed; 0 for an adopted run without progress so far
 * @property figure measurement of the newest list, see [ActiveRun.figure]
 */
internal data class RunView(
    val worker: WorkerRef,
    val answeredMillis: Long?,
    val startToken: Long = 0,
    val unanswered: Boolean = false,
    val begun: Boolean = false,
    val percent: Int = 0,
    val progressMillis: Long = 0,
    val checkpoint: String = "",
    val startedMillis: Long,
    val adopted: Boolean = false,
    val listedMillis: Long? = null,
    val crash: CrashTiming? = null,
    val missingSinceMillis: Long? = null,
    val stopSentMillis: Long? = null,
    val stoppingSinceMillis: Long? = null,
    val stopAnsweredMillis: Long? = null,
    val stopReason: StopReason? = null,
    val figure: Long? = null,
) {
    /** Time from the start to the newest poll that listed the run; null if none did. */
    val listedForMillis: Long? get() = listedMillis?.let { it - startedMillis }

    /** Whether this leader ordered the start, and neither an answer nor a list has shown that it was carried out. */
    val unseen: Boolean get() = !begun && !adopted && listedMillis == null

    /** Whether the start may still be carried out by a later incarnation, or its answer is awaited. */
    val startOpen: Boolean get() = unanswered || answeredMillis == null || adopted && listedMillis == null

    /** Whether the run may have begun and be in the process of being stopped, during which it is not listed. */
    val mayBeStopping: Boolean get() = !unseen || stopSentMillis != null
}
