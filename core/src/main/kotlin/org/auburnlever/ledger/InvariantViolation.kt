package org.auburnlever.ledger

/** A violated invariant of the ledger, found by tests or checks at run time. */
data class InvariantViolation(val rule: String, val detail: String)
