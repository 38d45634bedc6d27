package org.auburnlever.acceptance

/** A check of a session or a bound on a wait that did not hold. */
class CheckFailedException(message: String) : IllegalStateException(message)

/** Throws [CheckFailedException] with the text of [message] unless [condition] holds. */
fun ensure(condition: Boolean, message: () -> String) {
    if (!condition) throw CheckFailedException(message())
}
