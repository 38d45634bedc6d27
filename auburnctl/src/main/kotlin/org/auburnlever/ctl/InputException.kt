package org.auburnlever.ctl

/** A file or argument can't be used. */
class InputException(override val message: String) : RuntimeException(message)
