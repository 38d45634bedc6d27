package org.auburnlever.standin

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.auburnlever.codec.Codec

/**
 * What a stand-in worker does for a task; a job's payload holds it as JSON.
 *
 * The task runs for [runMillis], or [resumedRunMillis] when it starts from a checkpoint, and returns [result], or
 * fails when [fail] is true. It checkpoints every [checkpointEveryMillis] (0: never).
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
        /** Decodes [text]; an empty text is a task that completes immediately. Returns null for anything else. */
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
