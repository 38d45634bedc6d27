package org.auburnlever.ledger

/** A broken invariant of the ledger, for tests and checks at run time. */
data class InvariantViolation(val rule: String, val detail: String)
