package org.auburnlever.ctl

/** Reports a file or argument that can't be used. */
class InputException(override val message: String) : RuntimeException(message)
