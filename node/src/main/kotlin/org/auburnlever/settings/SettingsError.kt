package org.auburnlever.settings

import org.auburnlever.configuration.FieldProblem

/** Why settings can't be used. */
sealed interface SettingsError {
    val message: String

    /** A file can't be read. */
    data class Unreadable(val path: String, val reason: String) : SettingsError {
        override val message: String get() = "can't read $path: $reason"
    }

    /** The text is not JSON with comments. */
    data class Malformed(val reason: String) : SettingsError {
        override val message: String get() = "the settings are not a JSON object: $reason"
    }

    /** Fields are missing, unknown or out of range; all of them are listed. */
    data class Invalid(val problems: List<FieldProblem>) : SettingsError {
        override val message: String get() = problems.joinToString("\n")
    }

    /** A file that holds a secret has an unsuitable content, which is not part of the message. */
    data class BadSecret(val path: String, val reason: String) : SettingsError {
        override val message: String get() = "the secret in $path can't be used: $reason"
    }
}
