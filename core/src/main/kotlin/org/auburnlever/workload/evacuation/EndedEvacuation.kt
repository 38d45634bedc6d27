package org.auburnlever.workload.evacuation

import kotlinx.serialization.Serializable

/** An evacuation that was withdrawn: when it was ordered and when it ended. */
@Serializable
data class EndedEvacuation(val startMillis: Long, val endMillis: Long)
