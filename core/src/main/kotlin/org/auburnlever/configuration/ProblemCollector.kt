package org.auburnlever.configuration

import org.auburnlever.model.NameRule

/** Collects all problems of a document, so that its author sees them at once. */
class ProblemCollector {
    private val found = mutableListOf<FieldProblem>()

    /** The problems so far, in the order in which they were found. */
    val problems: List<FieldProblem> get() = found.toList()

    /** Adds a problem, unless the field or one that contains it has one already, from which it would follow. */
    fun add(path: String, value: Any?, permitted: String) {
        if (found.none { path.isAtOrInside(it.path) }) found += FieldProblem(path, value.toString(), permitted)
    }

    /** Requires [value] to be in [range]. */
    fun requireRange(path: String, value: Long, range: LongRange) {
        if (value !in range) add(path, value, "${range.first} to ${range.last}")
    }

    /** Requires [value] to be in [range]. */
    fun requireRange(path: String, value: Int, range: IntRange) =
        requireRange(path, value.toLong(), range.first.toLong()..range.last.toLong())

    /** Requires [value] to be a finite number in [range]. */
    fun requireRange(path: String, value: Double, range: ClosedFloatingPointRange<Double>) {
        if (value !in range) add(path, value, "${range.start} to ${range.endInclusive}")
    }

    /** Requires the list at [path] to have a permitted number of entries. */
    fun requireSize(path: String, entries: Collection<*>, range: IntRange) {
        if (entries.size !in range) add(path, "${entries.size} entries", "${range.first} to ${range.last} entries")
    }

    /** Requires [value] to be a permitted name. */
    fun requireName(path: String, value: String) {
        if (!NameRule.permits(value)) add(path, "\"$value\"", NameRule.PATTERN)
    }

    /** Requires [value] to be one of [known], which are described as [what]. */
    fun <T> requireKnown(path: String, value: T, known: Collection<T>, what: String) {
        if (value !in known) add(path, "\"$value\"", "$what: ${known.distinct().joinToString()}")
    }

    /** Requires the values, given with their paths, to be distinct. [show] hides values that must not be printed. */
    fun requireDistinct(values: List<Pair<String, String>>, show: (String) -> String = { "\"$it\"" }) {
        val firstPaths = mutableMapOf<String, String>()
        for ((path, value) in values) {
            val first = firstPaths.putIfAbsent(value, path) ?: continue
            add(path, show(value), "a value that differs from $first")
        }
    }

    /** Requires [values] of the list at [path] to be distinct; [field] is the path from an entry to its value. */
    fun requireDistinct(
        path: String,
        field: String,
        values: List<String>,
        show: (String) -> String = { "\"$it\"" },
    ) = requireDistinct(values.mapIndexed { index, value -> "$path[$index]$field" to value }, show)
}

private fun String.isAtOrInside(path: String): Boolean =
    this == path || startsWith("$path.") || startsWith("$path[")
