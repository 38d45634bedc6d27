package org.auburnlever.configuration

/** Bundle format that this version reads. */
const val BUNDLE_FORMAT_VERSION: Int = 1

/**
 * Validates the bundle and returns all problems; a bundle without problems may be proposed.
 *
 * [inForce] is the bundle in force, null before the first one.
 */
fun Bundle.problems(inForce: Bundle?): List<FieldProblem> {
    val collector = ProblemCollector()
    collector.checkFormatAndSize(this)
    collector.checkDomains(this, inForce)
    collector.checkOperators(operators, signOffThreshold, "operators", "signOffThreshold")
    collector.checkTokens(this)
    collector.checkAccounts(this)
    collector.checkServices(services)
    collector.checkPolicy(policy)
    collector.checkLimits(limits)
    return collector.problems
}

private fun ProblemCollector.checkFormatAndSize(bundle: Bundle) {
    if (bundle.formatVersion != BUNDLE_FORMAT_VERSION) add("formatVersion", bundle.formatVersion, "1")
    requireRange("version", bundle.version, 1L..Long.MAX_VALUE)
    val size = bundle.canonicalJson().encodeToByteArray().size
    if (size > BundleRanges.MAX_BYTES) add("bundle", "$size bytes", "at most ${BundleRanges.MAX_BYTES} bytes")
}

private fun ProblemCollector.checkDomains(bundle: Bundle, inForce: Bundle?) {
    requireSize("failureDomains", bundle.failureDomains, 1..BundleRanges.MAX_DOMAINS)
    bundle.failureDomains.forEachIndexed { index, domain ->
        requireName("failureDomains[$index].name", domain.name.value)
        requireName("failureDomains[$index].region", domain.region.value)
    }
    requireDistinct("failureDomains", ".name", bundle.failureDomains.map { it.name.value })
    requireSize("claimDomains", bundle.claimDomains, 1..BundleRanges.MAX_DOMAINS)
    val known = bundle.failureDomains.map { it.name }
    bundle.claimDomains.forEachIndexed { index, domain ->
        requireKnown("claimDomains[$index]", domain, known, "a failure domain")
    }
    requireDistinct("claimDomains", "", bundle.claimDomains.map { it.value })
    checkClaimDomainsUnchanged(bundle, inForce)
}

private fun ProblemCollector.checkClaimDomainsUnchanged(bundle: Bundle, inForce: Bundle?) {
    val fixed = inForce?.claimDomains ?: return
    if (fixed.toSet() == bundle.claimDomains.toSet()) return
    add("claimDomains", bundle.claimDomains.joinToString(), "${fixed.joinToString()} (fixed by the first bundle)")
}

private fun ProblemCollector.checkServices(services: List<Service>) {
    requireSize("services", services, 0..BundleRanges.MAX_SERVICES)
    services.forEachIndexed { index, service ->
        requireName("services[$index].name", service.name.value)
        requireRange("services[$index].maxQueue", service.maxQueue, 1..BundleRanges.MAX_QUEUE)
    }
    requireDistinct("services", ".name", services.map { it.name.value })
}

private fun ProblemCollector.checkPolicy(policy: PolicyWeights) {
    requireRange("policy.completionTime", policy.completionTime, 0.0..BundleRanges.MAX_WEIGHT)
    requireRange("policy.fragmentation", policy.fragmentation, 0.0..BundleRanges.MAX_WEIGHT)
}

private fun ProblemCollector.checkLimits(limits: Limits) {
    requireRange("limits.maxRequestBytes", limits.maxRequestBytes, 1..BundleRanges.MAX_REQUEST_BYTES)
    requireRange("limits.maxStoredAnswerBytes", limits.maxStoredAnswerBytes, 0..BundleRanges.MAX_STORED_ANSWER_BYTES)
    requireRange("limits.preemptionGraceMillis", limits.preemptionGraceMillis, 0L..BundleRanges.MAX_GRACE_MILLIS)
}
