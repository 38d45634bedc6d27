package org.auburnlever.acceptance

/** Reports a check that does not hold, or a wait that takes longer than its limit. */
class CheckFailedException(message: String) : IllegalStateException(message)

/** Throws [CheckFailedException] with the text of [message] unless [condition] holds. */
fun ensure(condition: Boolean, message: () -> String) {
    if (!condition) throw CheckFailedException(message())
}
