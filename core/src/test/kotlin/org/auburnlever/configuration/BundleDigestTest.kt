package org.auburnlever.configuration

import org.auburnlever.codec.Codec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class BundleDigestTest {
    private val text = """
        {
          "version": 1, // first
          "failureDomains": [{"name": "thies-a", "region": "thies"}],
          "claimDomains": ["thies-a"],
          "operators": [{"name": "awa", "publicKeyHex": "00"}],
          "signOffThreshold": 1,
          "accounts": [],
          "services": [],
          "platformTokenDigests": [],
        }
    """.trimIndent()

    private fun parse(text: String): Bundle = Codec.commentedJson.decodeFromString(Bundle.serializer(), text)

    /** Guards against signatures that become invalid when a tool reformats the file. */
    @Test
    fun `comments, layout, key order and explicit defaults do not change the digest`() {
        val moved = "\"platformTokenDigests\": [], \"formatVersion\": 1, \"version\": 1"
        val reordered = text.lines().filterNot { "first" in it }.joinToString(" ")
            .replace("\"platformTokenDigests\": []", moved)
        assertEquals(parse(text).digestHex(), parse(reordered).digestHex())
        assertEquals(
            """{"accounts":[],"claimDomains":["thies-a"],"failureDomains":[{"name":"thies-a","region":"thies"}],""" +
                """"operators":[{"name":"awa","publicKeyHex":"00"}],"platformTokenDigests":[],"services":[],""" +
                """"signOffThreshold":1,"version":1}""",
            parse(text).canonicalJson(),
        )
    }

    /** Guards against a digest that does not cover the whole bundle. */
    @Test
    fun `a changed value changes the digest`() {
        val bundle = parse(text)
        assertNotEquals(bundle.digestHex(), bundle.copy(limits = Limits(maxRequestBytes = 9)).digestHex())
        assertNotEquals(bundle.digestHex(), bundle.copy(version = 2).digestHex())
    }

    /** Guards against an exception in the replicated state machine: CBOR can hold NaN, standard JSON can't. */
    @Test
    fun `a bundle with a NaN weight has a digest and is reported as invalid`() {
        val bundle = parse(text).copy(policy = PolicyWeights(completionTime = Double.NaN))
        assertEquals(64, bundle.digestHex().length)
        assertEquals("NaN", bundle.problems(null).single { it.path == "policy.completionTime" }.value)
    }
}
