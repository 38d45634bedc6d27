package org.auburnlever.workload.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.workload.learning.LearnedDurations

/**
 * The replicated state of the workload group: the desired state and all jobs.
 *
 * @property catalog the active catalog; null before the first
 * @property document the source text of the catalog as the operator sent it, for reading back
 * @property nowMillis time of the newest command; never decreases
 * @property learned what ended runs showed about durations and worker speeds
 */
@Serializable
data class WorkloadState(
    val catalog: Catalog? = null,
    val document: String? = null,
    @Serializable(PersistentMapSerializer::class)
    val jobs: PersistentMap<String, JobRecord> = persistentMapOf(),
    val nowMillis: Long = 0,
    val learned: LearnedDurations = LearnedDurations(),
) {
    /** Returns the task [id], or null if its job is not stored or has no such task. */
    fun task(id: TaskId): TaskRecord? = jobs[id.job]?.task(id)
}
