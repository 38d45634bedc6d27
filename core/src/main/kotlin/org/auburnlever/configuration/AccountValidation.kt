package org.auburnlever.configuration

/** Returns the sum of the account's guaranteed accelerators over all failure domains. */
fun ClientAccount.guaranteedAccelerators(): Long = guarantees.sumOf { it.accelerators() }

/** Returns the number of accelerators in all shapes of the guarantee together. */
fun Guarantee.accelerators(): Long = count.toLong() * shape.taskCount * shape.acceleratorsPerTask

internal fun ProblemCollector.checkTokens(bundle: Bundle) {
    requireSize("platformTokenDigests", bundle.platformTokenDigests, 1..BundleRanges.MAX_TOKENS)
    val digests = bundle.accounts.flatMapIndexed { position, account ->
        account.tokenDigests.mapIndexed { index, digest -> "accounts[$position].tokenDigests[$index]" to digest }
    } + bundle.platformTokenDigests.mapIndexed { index, digest -> "platformTokenDigests[$index]" to digest }
    digests.filterNot { (_, digest) -> DIGEST.matches(digest) }.forEach { (path, digest) ->
        add(path, redacted(digest), "SHA-256 of the token as 64 lower-case hex digits")
    }
    requireDistinct(digests, ::redacted)
}

internal fun ProblemCollector.checkAccounts(bundle: Bundle) {
    requireSize("accounts", bundle.accounts, 0..BundleRanges.MAX_ACCOUNTS)
    bundle.accounts.forEachIndexed { index, account ->
        val path = "accounts[$index]"
        requireName("$path.name", account.name.value)
        requireSize("$path.tokenDigests", account.tokenDigests, 0..BundleRanges.MAX_TOKENS)
        requireRange("$path.share", account.share, 1..BundleRanges.MAX_SHARE)
        requireRange("$path.quotaAccelerators", account.quotaAccelerators, 0..Int.MAX_VALUE)
        checkGuarantees(path, account, bundle)
    }
    requireDistinct("accounts", ".name", bundle.accounts.map { it.name.value })
}

private fun ProblemCollector.checkGuarantees(path: String, account: ClientAccount, bundle: Bundle) {
    requireSize("$path.guarantees", account.guarantees, 0..BundleRanges.MAX_GUARANTEES)
    val known = bundle.failureDomains.map { it.name }
    account.guarantees.forEachIndexed { index, guarantee ->
        val at = "$path.guarantees[$index]"
        requireKnown("$at.failureDomain", guarantee.failureDomain, known, "a failure domain")
        requireRange("$at.count", guarantee.count, 1..BundleRanges.MAX_GUARANTEE_COUNT)
        ShapeRanges.check("$at.shape", guarantee.shape).forEach { add(it.path, it.value, it.permitted) }
    }
    val sum = account.guaranteedAccelerators()
    if (sum > account.quotaAccelerators) {
        add("$path.quotaAccelerators", account.quotaAccelerators, "at least $sum, the sum of the account's guarantees")
    }
}

/** Replaces a digest in messages: a malformed one may be the token itself, which must not be printed. */
private fun redacted(digest: String): String = "(hidden, ${digest.length} characters)"

private val DIGEST = Regex("[0-9a-f]{64}")
