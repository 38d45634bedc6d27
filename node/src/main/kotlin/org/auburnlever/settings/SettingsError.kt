package org.auburnlever.settings

import org.auburnlever.configuration.FieldProblem

/** Reason why settings can't be used. */
sealed interface SettingsError {
    val message: String

    /** A file can't be read. */
    data class Unreadable(val path: String, val reason: String) : SettingsError {
        override val message: String get() = "can't read $path: $reason"
    }

    /** The text is not a JSON object, with or without comments. */
    data class Malformed(val reason: String) : SettingsError {
        override val message: String get() = "the settings are not a JSON object: $reason"
    }

    /** Fields are missing, unknown or have invalid values; [problems] lists all of them. */
    data class Invalid(val problems: List<FieldProblem>) : SettingsError {
        override val message: String get() = problems.joinToString("\n")
    }

    /** The content of a file that holds a secret is not valid; the message does not contain it. */
    data class BadSecret(val path: String, val reason: String) : SettingsError {
        override val message: String get() = "the secret in $path can't be used: $reason"
    }
}
