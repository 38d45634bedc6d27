package org.auburnlever.wire

import kotlinx.serialization.Serializable

/** Answer of `/health`; [status] is `ready`, `starting` or `shutting_down`. */
@Serializable
data class HealthView(val status: String, val reason: String? = null)
