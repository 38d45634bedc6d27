package org.auburnlever.model

/** Syntax of the names of failure domains, regions, hosts, accounts, services and operators. */
object NameRule {
    /** Regular expression that a name must match as a whole; names are also used in paths, metrics and keys. */
    const val PATTERN: String = "[a-z0-9][a-z0-9-]{0,62}"

    private val regex = Regex(PATTERN)

    /** Says whether [text] is a permitted name. */
    fun permits(text: String): Boolean = regex.matches(text)
}
