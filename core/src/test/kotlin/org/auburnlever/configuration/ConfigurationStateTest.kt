package org.auburnlever.configuration

import org.auburnlever.codec.Codec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class ConfigurationStateTest {
    private val awa = SigningOperator("awa")
    private val bineta = SigningOperator("bineta")
    private val cheikh = SigningOperator("cheikh")
    private val operators = listOf(awa, bineta, cheikh)
    private val start = ConfigurationState(operators.map { it.operator }, genesisThreshold = 2)
    private val first = sampleBundle(version = 1, operators)

    private fun ConfigurationState.after(vararg commands: ConfigurationCommand): ConfigurationState =
        commands.fold(this) { state, command -> state.apply(command, nowMillis = 1_000).state }

    private fun ConfigurationState.replyTo(command: ConfigurationCommand): ConfigurationReply =
        apply(command, nowMillis = 1_000).reply

    private fun variant(version: Long, quota: Int): Bundle {
        val bundle = sampleBundle(version, operators)
        return bundle.copy(accounts = bundle.accounts.map { it.copy(quotaAccelerators = quota) })
    }

    /** Guards against a bundle that takes effect with fewer signatures than the threshold. */
    @Test
    fun `a bundle is accepted at the threshold, and the proposer's signature counts`() {
        val digest = first.digestHex()
        assertEquals(ConfigurationReply.Pending(1, digest, missing = 1), start.replyTo(awa.propose(first)))
        val proposed = start.after(awa.propose(first))
        assertEquals(ConfigurationReply.Accepted(1, digest), proposed.replyTo(bineta.signOff(first)))
        val accepted = proposed.apply(bineta.signOff(first), nowMillis = 7)
        assertEquals(listOf(awa.operator.name, bineta.operator.name), accepted.state.accepted?.signers)
        assertEquals(ConfigurationEvent.Accepted(checkNotNull(accepted.state.accepted)), accepted.events.last())
    }

    /** Guards against a single operator who reaches the threshold by resending a signature. */
    @Test
    fun `a repeated signature counts once`() {
        val state = start.after(awa.propose(first), awa.propose(first), awa.signOff(first))
        assertEquals(0, state.version)
        assertEquals(1, state.proposals.single().signers.size)
    }

    /** Guards against a lost update when two operators propose bundles with the same version number. */
    @Test
    fun `of two competing proposals the first at the threshold wins and the other gets the winner's digest`() {
        val losing = variant(version = 1, quota = 40)
        val state = start.after(awa.propose(losing), bineta.propose(first), cheikh.signOff(first))
        assertEquals(first.digestHex(), state.accepted?.digestHex)
        val conflict = ConfigurationReply.Conflict(1, first.digestHex())
        assertEquals(conflict, state.replyTo(cheikh.signOff(losing)))
        assertEquals(conflict, state.replyTo(awa.propose(losing)))
        assertEquals(conflict, state.replyTo(cheikh.propose(variant(version = 1, quota = 50))))
        assertTrue(state.proposals.isEmpty(), "the losing proposal must not stay open under a used version number")
    }

    /** Guards against gaps in the version numbers, which would hide a lost change. */
    @Test
    fun `a version that does not follow the accepted one is a conflict`() {
        assertEquals(ConfigurationReply.Conflict(0, null), start.replyTo(awa.propose(variant(version = 2, quota = 40))))
        assertEquals(ConfigurationReply.Conflict(0, null), start.replyTo(awa.propose(variant(version = 0, quota = 40))))
    }

    /** Guards against a resend after a lost reply that reports a conflict with the operator's own bundle. */
    @Test
    fun `a resend gets the original reply after 100 further bundles`() {
        val accepted = start.after(awa.propose(first), bineta.signOff(first))
        val later = (2L..101L).fold(accepted) { state, version ->
            val bundle = variant(version, quota = 32 + version.toInt())
            state.after(awa.propose(bundle), bineta.signOff(bundle))
        }
        assertEquals(101, later.version)
        val reply = ConfigurationReply.Accepted(1, first.digestHex())
        assertEquals(reply, later.replyTo(awa.propose(first)))
        assertEquals(reply, later.replyTo(cheikh.signOff(first)))
    }

    /** Guards against a history that grows without bound and with it every snapshot. */
    @Test
    fun `the history of digests is bounded`() {
        val last = ConfigurationState.MAX_HISTORY + 2L
        val state = (1L..last).fold(start.copy(genesisThreshold = 1)) { state, version ->
            state.after(awa.propose(variant(version, quota = 40).copy(signOffThreshold = 1)))
        }
        assertEquals(last, state.version)
        assertEquals(ConfigurationState.MAX_HISTORY, state.history.size)
    }

    /** Guards against a bundle that is accepted without a valid signature of an operator. */
    @Test
    fun `a wrong signature or an unknown operator is refused and changes nothing`() {
        val stranger = SigningOperator("stranger")
        val forged = awa.propose(first).copy(signatureHex = bineta.sign(first.digestHex()))
        val other = awa.propose(first).copy(signatureHex = awa.sign("another text"))
        val malformed = awa.propose(first).copy(signatureHex = "not hex")
        for (command in listOf(stranger.propose(first), forged, other, malformed)) {
            val applied = start.apply(command, nowMillis = 1_000)
            assertIs<ConfigurationError.BadSignature>(assertIs<ConfigurationReply.Refused>(applied.reply).error)
            assertEquals(start, applied.state)
        }
        val proposed = start.after(awa.propose(first))
        assertIs<ConfigurationReply.Refused>(proposed.replyTo(stranger.signOff(first)))
        assertEquals(0, proposed.after(stranger.signOff(first)).version)
    }

    /** Guards against operators who can still sign after a bundle has removed them. */
    @Test
    fun `operators and threshold of the bundle in force apply to the next one`() {
        val alone = sampleBundle(version = 1, listOf(cheikh), threshold = 1)
        val state = start.after(awa.propose(alone), bineta.signOff(alone))
        assertIs<ConfigurationReply.Refused>(state.replyTo(awa.propose(variant(version = 2, quota = 40))))
        assertIs<ConfigurationReply.Accepted>(state.replyTo(cheikh.propose(variant(version = 2, quota = 40))))
    }

    /** Guards against memory that grows with abandoned proposals, and against an operator who evicts others' ones. */
    @Test
    fun `open proposals are bounded, and the oldest of the operator with the most is evicted`() {
        val state = start.after(bineta.propose(first))
        val crowded = (1..ConfigurationState.MAX_PROPOSALS).fold(state) { current, number ->
            current.after(awa.propose(variant(version = 1, quota = 100 + number)))
        }
        assertEquals(ConfigurationState.MAX_PROPOSALS, crowded.proposals.size)
        assertIs<ConfigurationReply.Accepted>(crowded.replyTo(cheikh.signOff(first)))
        val dropped = assertIs<ConfigurationReply.Refused>(crowded.replyTo(cheikh.signOff(variant(1, quota = 101))))
        assertIs<ConfigurationError.UnknownProposal>(dropped.error)
    }

    /** Guards against an invalid bundle that is opened for signatures. */
    @Test
    fun `an invalid bundle is refused with a list of all problems`() {
        val bad = first.copy(signOffThreshold = 9, platformTokenDigests = listOf("short"))
        val error = assertIs<ConfigurationReply.Refused>(start.replyTo(awa.propose(bad))).error
        val paths = assertIs<ConfigurationError.InvalidBundle>(error).problems.map { it.path }
        assertEquals(listOf("signOffThreshold", "platformTokenDigests[0]"), paths)
    }

    /** Guards against a snapshot that does not restore the whole state. */
    @Test
    fun `the state is equal after CBOR encoding and decoding`() {
        val state = start.after(awa.propose(first), bineta.signOff(first), awa.propose(variant(2, quota = 40)))
        assertEquals(state, Codec.decode<ConfigurationState>(Codec.encode(state)))
    }
}
