package org.auburnlever.workload.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable
import org.auburnlever.codec.PersistentMapSerializer
import org.auburnlever.model.DomainName
import org.auburnlever.workload.evacuation.EndedEvacuation
import org.auburnlever.workload.learning.LearnedDurations

/**
 * The replicated state of the workload group: the desired state, all jobs and evacuations.
 *
 * @property catalog the active catalog; null before the first
 * @property document the source text of the catalog as the operator sent it, for reading back
 * @property nowMillis time of the newest command; never decreases
 * @property evacuations when the evacuation of each evacuated failure domain was ordered
 * @property endedEvacuations the newest withdrawn evacuation of each other failure domain that had one
 * @property returns when jobs that were turned away are expected back, by job id
 * @property openStarts workers at which a start may still be carried out although its run is over, by worker id
 * @property learned what ended runs showed about durations and worker speeds
 */
@Serializable
data class WorkloadState(
    val catalog: Catalog? = null,
    val document: String? = null,
    @Serializable(PersistentMapSerializer::class)
    val jobs: PersistentMap<String, JobRecord> = persistentMapOf(),
    val nowMillis: Long = 0,
    @Serializable(PersistentMapSerializer::class)
    val evacuations: PersistentMap<DomainName, Long> = persistentMapOf(),
    @Serializable(PersistentMapSerializer::class)
    val endedEvacuations: PersistentMap<DomainName, EndedEvacuation> = persistentMapOf(),
    @Serializable(PersistentMapSerializer::class)
    val returns: PersistentMap<String, ReturnSlot> = persistentMapOf(),
    val learned: LearnedDurations = LearnedDurations(),
    @Serializable(PersistentMapSerializer::class)
    val openStarts: PersistentMap<String, OpenStart> = persistentMapOf(),
) {
    /** Returns the task [id], or null if its job is not stored or has no such task. */
    fun task(id: TaskId): TaskRecord? = jobs[id.job]?.task(id)
}
