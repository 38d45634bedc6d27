package org.auburnlever.configuration

import kotlinx.serialization.Serializable

/** An invalid field: its [path], for example `accounts[0].share`, its [value], and which values are [permitted]. */
@Serializable
data class FieldProblem(val path: String, val value: String, val permitted: String) {
    override fun toString(): String = "$path: $value is not permitted; permitted: $permitted"
}
