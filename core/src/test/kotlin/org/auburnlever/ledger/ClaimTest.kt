package org.auburnlever.ledger

import org.auburnlever.codec.Bytes
import org.auburnlever.model.AccountName
import org.auburnlever.model.HostName
import org.auburnlever.wire.Answer
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class ClaimTest {
    private val simulation = LedgerSimulation(bundle())
    private val purpose = ClaimPurpose.Request(SERVICE)
    private val seconds = BASE_MILLIS / 1_000

    private fun claim(id: String, key: String = "$seconds-a", digest: String = "d"): LedgerReply =
        simulation.apply(LedgerCommand.Claim(key(key), digest, purpose, id, HostName("h"), timeoutMillis = 5_000))

    private fun record(id: String, outcome: Outcome, key: String = "$seconds-a"): LedgerReply =
        simulation.apply(LedgerCommand.RecordOutcome(key(key), id, outcome))

    private fun key(key: String) = RequestKey(AccountName("joal-salt"), key)

    private fun completed(size: Int) = Outcome.Completed(Answer("text/plain", size, "ab", Bytes(ByteArray(size))))

    private fun refusalOf(reply: LedgerReply): Outcome = assertIs<LedgerReply.Rejected>(reply).refusal

    /** Guards against two entry hosts running the same request. */
    @Test
    fun `the first claim wins and a resend sees its outcome`() {
        assertEquals(LedgerReply.ClaimGranted(1), claim("c1"))
        assertEquals(LedgerReply.ClaimExists(purpose, null), claim("c2"))
        assertEquals(LedgerReply.ClaimGranted(1), claim("c1"), "the holder's own resend after a lost reply")
        assertIs<Outcome.Unknown>(refusalOf(record("c2", completed(1))))
        record("c1", completed(10))
        assertEquals(LedgerReply.ClaimExists(purpose, completed(10)), claim("c3"))
        assertEquals(ErrorCode.KEY_REUSED, assertIs<Outcome.Refused>(refusalOf(claim("c4", digest = "x"))).code)
    }

    /** Guards against a second run under a key whose record was removed, or whose caller's clock is wrong. */
    @Test
    fun `keys outside their lifetime get no claim`() {
        val day = 86_400L
        assertEquals(LedgerReply.ClaimGranted(1), claim("c", key = "${seconds - day + 1}-a"))
        assertIs<Outcome.Unknown>(refusalOf(claim("c", key = "${seconds - day}-b")))
        assertEquals(LedgerReply.ClaimGranted(1), claim("c", key = "thies-a~${seconds + 300}-c"))
        assertIs<Outcome.Refused>(refusalOf(claim("c", key = "${seconds + 301}-d")))
        val malformed = listOf("x", "-a", "12-", "~12-a", "1e3-a")
        malformed.forEach { assertIs<Outcome.Refused>(refusalOf(claim("c", key = it)), it) }
    }

    /** Guards against a claim that is removed while its key is still accepted, so that the request runs again. */
    @Test
    fun `a claim is kept beyond the lifetime of its key`() {
        claim("c1")
        record("c1", completed(1))
        simulation.nowMillis += 24 * 3_600_000L
        assertIs<LedgerReply.ClaimExists>(claim("c2"))
        simulation.nowMillis += 3_600_000L + 60_000L
        assertIs<Outcome.Unknown>(refusalOf(claim("c3")))
        assertNull(simulation.state.claims.all[key("$seconds-a")])
    }

    /** Guards against callers that wait forever, and against losing the true outcome that arrives late. */
    @Test
    fun `a claim without an outcome becomes unknown one second after its deadline`() {
        claim("c1")
        simulation.nowMillis += 5_999
        simulation.apply(LedgerCommand.TimePassed)
        assertEquals(LedgerReply.ClaimExists(purpose, null), claim("c2"))
        simulation.nowMillis += 1 + LedgerState.DEADLINE_WIDTH_MILLIS
        assertIs<Outcome.Unknown>(assertIs<LedgerReply.ClaimExists>(claim("c2")).outcome)
        record("c1", completed(1))
        assertEquals(LedgerReply.ClaimExists(purpose, completed(1)), claim("c2"))
    }

    /** Guards against a refused request that can never be run, and an earlier holder that records the new outcome. */
    @Test
    fun `a refused claim can be claimed again`() {
        claim("c1")
        record("c1", Outcome.Refused(ErrorCode.OVERLOADED, "full"))
        assertEquals(LedgerReply.ClaimGranted(2), claim("c2"))
        assertIs<Outcome.Unknown>(refusalOf(record("c1", completed(1))))
    }

    /** Guards against answers that exhaust the memory of the control hosts. */
    @Test
    fun `stored answers are limited in size each and in total`() {
        claim("big")
        record("big", completed(65_537))
        val big = assertIs<Outcome.Completed>(assertIs<LedgerReply.ClaimExists>(claim("again")).outcome)
        assertEquals(Answer("text/plain", 65_537, "ab", null), big.answer)
        repeat(130) {
            claim("c", key = "$seconds-n$it")
            record("c", completed(65_536), key = "$seconds-n$it")
        }
        assertEquals(8L * 1024 * 1024, simulation.state.claims.storedBytes)
        val bodies = listOf("n0", "n1", "n2").map { simulation.state.claims.all.getValue(key("$seconds-$it")).outcome }
        assertEquals(listOf(true, true, false), bodies.map { (it as Outcome.Completed).answer.body == null })
    }

    /** Guards against a leader whose clock is behind, which would let expired keys run again. */
    @Test
    fun `ledger time never goes back`() {
        simulation.apply(LedgerCommand.TimePassed)
        simulation.nowMillis -= 3_600_000
        simulation.apply(LedgerCommand.TimePassed)
        assertEquals(BASE_MILLIS, simulation.state.timeMillis)
    }
}
