package org.auburnlever.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec

/**
 * Describes how a task behaves on a stand-in worker; a job's payload holds it as JSON.
 *
 * The task runs for [runMillis], or [resumedRunMillis] if it starts from a checkpoint. It then returns [result], or
 * fails if [fail] is true. It writes a checkpoint every [checkpointEveryMillis] (0: never). [usedMemoryMiB] and
 * [usedMilliCores] are the usage to report; if null, the task reports its reserved memory and its CPU limit.
 */
@Serializable
data class TaskPayload(
    val runMillis: Long = 0,
    val resumedRunMillis: Long? = null,
    val result: String = "",
    val fail: Boolean = false,
    val checkpointEveryMillis: Long = 0,
    val usedMemoryMiB: Long? = null,
    val usedMilliCores: Long? = null,
) {
    companion object {
        /** Decodes [text]; an empty text is a task that completes immediately. Returns null if the text is invalid. */
        fun parse(text: String): TaskPayload? =
            if (text.isEmpty()) {
                TaskPayload()
            } else {
                try {
                    Codec.json.decodeFromString(serializer(), text)
                } catch (_: SerializationException) {
                    null
                }
            }
    }
}
