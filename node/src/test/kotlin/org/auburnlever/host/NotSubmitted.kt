package org.auburnlever.host

/** Returns the error of a call for which no replica was reachable. */
internal fun notSubmitted(message: String) = SubmitError.NotSubmitted(message, RefusalEvidence.NOT_HANDED_ON)
