package org.auburnlever.workload.state

import kotlinx.serialization.Serializable

/** How a worker crashed under a run, seen from the run. */
@Serializable
enum class CrashTiming {
    /** Before the run was known to have survived its start, beside runs of other jobs. */
    AT_START,

    /** Later beside runs of other jobs, or it is not known when. */
    LATER,

    /** With no run of another job. */
    ALONE,
}
