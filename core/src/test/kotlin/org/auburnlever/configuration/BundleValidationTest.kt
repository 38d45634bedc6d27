package org.auburnlever.configuration

import org.auburnlever.model.DomainName
import org.auburnlever.model.RegionName
import org.auburnlever.model.ServiceName
import org.auburnlever.model.Shape
import kotlin.test.Test
import kotlin.test.assertEquals

/** Each test guards against a bundle that is put in force although it breaks the rules in the test's name. */
class BundleValidationTest {
    private val operators = listOf(SigningOperator("awa"), SigningOperator("bineta"))
    private val bundle = sampleBundle(version = 1, operators)
    private val account = bundle.accounts.single()

    private fun problems(bundle: Bundle, inForce: Bundle? = null): String =
        bundle.problems(inForce).joinToString("\n")

    private fun withShape(shape: Shape, count: Int = 1) = bundle.copy(
        accounts = listOf(
            account.copy(
                quotaAccelerators = Int.MAX_VALUE,
                guarantees = listOf(Guarantee(DomainName("thies-a"), shape, count)),
            ),
        ),
    )

    @Test
    fun `a valid bundle has no problems`() = assertEquals("", problems(bundle, inForce = bundle))

    @Test
    fun `format and version`() = assertEquals(
        "formatVersion: 2 is not permitted; permitted: 1\n" +
            "version: 0 is not permitted; permitted: 1 to 9223372036854775807",
        problems(bundle.copy(formatVersion = 2, version = 0)),
    )

    @Test
    fun `names of domains, regions and services`() {
        val bad = bundle.copy(
            failureDomains = bundle.failureDomains + FailureDomain(DomainName("Thies A"), RegionName("-x")),
            services = listOf(Service(ServiceName("a".repeat(64)), maxQueue = 0)),
        )
        assertEquals(
            "failureDomains[2].name: \"Thies A\" is not permitted; permitted: $NAME\n" +
                "failureDomains[2].region: \"-x\" is not permitted; permitted: $NAME\n" +
                "services[0].name: \"${"a".repeat(64)}\" is not permitted; permitted: $NAME\n" +
                "services[0].maxQueue: 0 is not permitted; permitted: 1 to 10000",
            problems(bad),
        )
    }

    @Test
    fun `unknown and duplicate domains`() {
        val bad = bundle.copy(
            failureDomains = bundle.failureDomains + bundle.failureDomains.first(),
            claimDomains = listOf("thies-a", "louga-a", "thies-a").map { DomainName(it) },
            accounts = listOf(account.copy(guarantees = listOf(Guarantee(DomainName("louga-a"), Shape(1, 1))))),
        )
        assertEquals(
            "failureDomains[2].name: \"thies-a\" $DIFFERS failureDomains[0].name\n" +
                "claimDomains[1]: \"louga-a\" is not permitted; " +
                "permitted: a failure domain: thies-a, dakar-a\n" +
                "claimDomains[2]: \"thies-a\" $DIFFERS claimDomains[0]\n" +
                "accounts[0].guarantees[0].failureDomain: \"louga-a\" is not permitted; " +
                "permitted: a failure domain: thies-a, dakar-a",
            problems(bad),
        )
    }

    @Test
    fun `claimDomains can be reordered but not changed after the first bundle`() {
        assertEquals("", problems(bundle.copy(claimDomains = bundle.claimDomains.reversed()), inForce = bundle))
        assertEquals(
            "claimDomains: thies-a is not permitted; permitted: thies-a, dakar-a (fixed by the first bundle)",
            problems(bundle.copy(claimDomains = bundle.claimDomains.take(1)), inForce = bundle),
        )
    }

    @Test
    fun `operators, keys and threshold`() {
        val key = operators[0].operator.publicKeyHex
        val bad = bundle.copy(
            operators = bundle.operators + operators[0].operator + Operator(operators[0].operator.name, "12zz"),
            signOffThreshold = 5,
        )
        assertEquals(
            "operators[3].publicKeyHex: \"12zz\" is not permitted; " +
                "permitted: the X.509 encoding of an Ed25519 public key as lower-case hex\n" +
                "operators[2].name: \"awa\" $DIFFERS operators[0].name\n" +
                "operators[3].name: \"awa\" $DIFFERS operators[0].name\n" +
                "operators[2].publicKeyHex: \"${key.take(16)}...\" $DIFFERS operators[0].publicKeyHex\n" +
                "signOffThreshold: 5 is not permitted; permitted: 1 to 4",
            problems(bad),
        )
        assertEquals(
            "operators: 0 entries is not permitted; permitted: 1 to 32 entries\n" +
                "signOffThreshold: 0 is not permitted; permitted: 1 to 1",
            problems(bundle.copy(operators = emptyList(), signOffThreshold = 0)),
        )
    }

    /** Also guards against printing a token that an operator entered in place of its digest. */
    @Test
    fun `token digests`() {
        val bad = bundle.copy(
            accounts = listOf(account.copy(tokenDigests = listOf(tokenDigest('A'), tokenDigest('b')))),
            platformTokenDigests = listOf("secret-token", tokenDigest('b')),
        )
        val rule = "permitted: SHA-256 of the token as 64 lower-case hex digits"
        assertEquals(
            "accounts[0].tokenDigests[0]: (hidden, 64 characters) is not permitted; $rule\n" +
                "platformTokenDigests[0]: (hidden, 12 characters) is not permitted; $rule\n" +
                "platformTokenDigests[1]: (hidden, 64 characters) $DIFFERS accounts[0].tokenDigests[1]",
            problems(bad),
        )
    }

    @Test
    fun `shapes and counts`() {
        val at = "accounts[0].guarantees[0]"
        assertEquals(
            "$at.count: 0 is not permitted; permitted: 1 to 1000\n" +
                "$at.shape.taskCount: 65 is not permitted; permitted: 1 to 64\n" +
                "$at.shape.acceleratorsPerTask: -1 is not permitted; permitted: 0 to 64\n" +
                "$at.shape.coresPerTask: 0 is not permitted; permitted: 1 to 1024\n" +
                "$at.shape.memoryMiBPerTask: 0 is not permitted; permitted: 1 to 16777216",
            problems(withShape(Shape(65, -1, coresPerTask = 0, memoryMiBPerTask = 0), count = 0)),
        )
    }

    /** Also guards against a 32-bit overflow of the sum, here 1,000,000 x 65,536 x 65,536 accelerators. */
    @Test
    fun `quota below the guarantees, share and duplicate accounts`() {
        val small = account.copy(quotaAccelerators = 15, share = 0)
        assertEquals(
            "accounts[0].share: 0 is not permitted; permitted: 1 to 10000\n" +
                "accounts[0].quotaAccelerators: 15 is not permitted; " +
                "permitted: at least 16, the sum of the account's guarantees\n" +
                "accounts[1].name: \"dakar-glass\" $DIFFERS accounts[0].name",
            problems(bundle.copy(accounts = listOf(small, account.copy(tokenDigests = emptyList())))),
        )
        val huge = Guarantee(DomainName("thies-a"), Shape(65_536, 65_536), count = 1_000_000)
        assertEquals(4_294_967_296_000_000, huge.accelerators())
    }

    @Test
    fun `policy weights and limits`() = assertEquals(
        "policy.completionTime: -1.0 is not permitted; permitted: 0.0 to 1000.0\n" +
            "policy.fragmentation: Infinity is not permitted; permitted: 0.0 to 1000.0\n" +
            "limits.maxRequestBytes: 1000001 is not permitted; permitted: 1 to 1000000\n" +
            "limits.maxStoredAnswerBytes: 65537 is not permitted; permitted: 0 to 65536\n" +
            "limits.preemptionGraceMillis: 3001 is not permitted; permitted: 0 to 3000",
        problems(
            bundle.copy(
                policy = PolicyWeights(-1.0, Double.POSITIVE_INFINITY),
                limits = Limits(1_000_001, 65_537, 3_001),
            ),
        ),
    )

    @Test
    fun `too many entries and too many bytes`() {
        val services = (1..1_001).map { Service(ServiceName("s".repeat(600) + it)) }
        val paths = bundle.copy(services = services, platformTokenDigests = emptyList()).problems(null)
            .filterNot { it.path.startsWith("services[") }
        assertEquals(listOf("bundle", "platformTokenDigests", "services"), paths.map { it.path })
        assertEquals("1001 entries", paths.last().value)
    }

    private companion object {
        const val DIFFERS = "is not permitted; permitted: a value that differs from"
        const val NAME = "[a-z0-9][a-z0-9-]{0,62}"
    }
}
