package org.auburnlever.configuration

import kotlinx.serialization.Serializable

/** A field whose value is not permitted; [path] is like `accounts[0].share`, [permitted] says what is allowed. */
@Serializable
data class FieldProblem(val path: String, val value: String, val permitted: String) {
    override fun toString(): String = "$path: $value is not permitted; permitted: $permitted"
}
