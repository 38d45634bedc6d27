package org.auburnlever.routing

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.auburnlever.ledger.IdempotencyKey
import org.auburnlever.ledger.RequestKey
import org.auburnlever.ledger.parseKey
import org.auburnlever.model.AccountName
import org.auburnlever.model.DomainName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class KeyOwnerResolverTest {
    private val domains = listOf("thies-a", "dakar-a", "saint-louis-a").map(::DomainName)
    private val account = AccountName("co-op")

    private fun owner(key: String, from: List<DomainName> = domains) =
        KeyOwnerResolver(from).owner(RequestKey(account, key))

    /** Guards against hosts that find different owners, which would allow two claims of one key. */
    @Test
    fun `the owner does not depend on the order of the claim domains`() {
        val keys = List(300) { "1764820800-$it" }
        keys.forEach { assertEquals(owner(it).get(), owner(it, domains.reversed()).get()) }
        val counts = keys.groupingBy { owner(it).get() }.eachCount()
        assertEquals(domains.toSet(), counts.keys)
        assertEquals(DomainName("saint-louis-a"), owner("1764820800-order-17").get(), "independent Python result")
    }

    @Test
    fun `a pinned key belongs to its domain`() {
        assertEquals(DomainName("thies-a"), owner("thies-a~1764820800-x").get())
        assertEquals(KeyError.UnknownDomain(DomainName("luzon")), owner("luzon~1764820800-x").getError())
        assertEquals(KeyError.NoClaimDomains, owner("1-x", emptyList()).getError())
    }

    /** Guards against keys whose issue time can't be read, since the ledger could never expire them. */
    @Test
    fun `keys outside the grammar are malformed`() {
        val short = listOf("", "x", "-x", "1764820800", "1764820800-", "~1-x", "a~b~1-x", "1 -x", "1-\u00e9")
        (short + "1-${"x".repeat(200)}").forEach { assertIs<KeyError.Malformed>(owner(it).getError(), it) }
        assertEquals(IdempotencyKey(null, 1_764_820_800, "a-b~c"), parseKey("1764820800-a-b~c").get())
    }
}
