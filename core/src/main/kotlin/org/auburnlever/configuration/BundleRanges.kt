package org.auburnlever.configuration

/** Largest permitted values in a [Bundle]. */
internal object BundleRanges {
    /** Half of the maximum frame size of a peer link (1 MiB), so that a bundle always fits into one message. */
    const val MAX_BYTES: Int = 524_288

    const val MAX_DOMAINS: Int = 32
    const val MAX_OPERATORS: Int = 32
    const val MAX_ACCOUNTS: Int = 1_000
    const val MAX_SERVICES: Int = 1_000
    const val MAX_TOKENS: Int = 16
    const val MAX_GUARANTEES: Int = 64
    const val MAX_GUARANTEE_COUNT: Int = 1_000
    const val MAX_SHARE: Int = 10_000
    const val MAX_QUEUE: Int = 10_000
    const val MAX_WEIGHT: Double = 1_000.0

    /** A forwarded request is sent in one frame of a peer link, which is at most 1 MiB. */
    const val MAX_REQUEST_BYTES: Int = 1_000_000

    /** The ledger stores answers for 25 h; larger ones would make its snapshots too large. */
    const val MAX_STORED_ANSWER_BYTES: Int = 65_536

    /** Guaranteed work must start within 4.4 s, which leaves at most 3 s to checkpoint work on borrowed capacity. */
    const val MAX_GRACE_MILLIS: Long = 3_000
}
