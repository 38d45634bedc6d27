package org.auburnlever.host

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.auburnlever.fleet.leaderRequest
import org.auburnlever.ledger.LedgerCommand
import org.auburnlever.ledger.LedgerReply
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.GroupName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.CallError
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.wire.ErrorCode
import org.auburnlever.wire.Outcome
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Inadmissible
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobSpec
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class LeaderClientTest {
    private val domain = DomainName("dakar-a")
    private val hosts = listOf(HostName("one"), HostName("two"), HostName("three"))
    private val address = JobAddress("jobs.example", "/routine/00000000000000a1", key = null)
    private val submission = FleetCall.SubmitJob(address, JobSpec("", emptyList()))
    private val noReply: Result<PeerReply, CallError> = Err(CallError.NoReply("link closed"))
    private val notSent: Result<PeerReply, CallError> = Err(CallError.NotSent("no link"))

    /** Guards against a request that is reported as not run although an attempt may have been accepted. */
    @Test
    fun `an attempt without a reply leaves the command undecided`() {
        val answers = listOf<Result<PeerReply, CallError>>(
            Err(CallError.NoReply("link closed")),
            Ok(PeerReply.NotLeader(null)),
        )
        assertIs<SubmitError.Undecided>(submit(FakePeers(hosts, answers)).getError())
    }

    /** Guards against an outcome that is reported as unknown although no replica accepted the command. */
    @Test
    fun `a command that no replica accepted is not submitted`() {
        val answers = listOf<Result<PeerReply, CallError>>(
            Err(CallError.NotSent("no link")),
            Ok(PeerReply.NotLeader(null)),
        )
        assertIs<SubmitError.NotSubmitted>(submit(FakePeers(hosts, answers)).getError())
    }

    /** Guards against a client that keeps asking a follower although it named the leader. */
    @Test
    fun `the named leader is asked next`() {
        val peers = FakePeers(
            hosts,
            listOf(Ok(PeerReply.NotLeader(hosts[2])), Ok(PeerReply.Ledger(LedgerReply.Done))),
        )
        assertEquals(Ok(LedgerReply.Done), submit(peers))
        assertEquals(listOf(hosts[0], hosts[2]), peers.asked)
    }

    /** Guards against a lost reply that fails the submission although a retry would be answered. */
    @Test
    fun `an idempotent command is sent again after a lost reply`() {
        val answers = listOf<Result<PeerReply, CallError>>(
            Err(CallError.NoReply("link closed")),
            Ok(PeerReply.Ledger(LedgerReply.Done)),
        )
        assertEquals(Ok(LedgerReply.Done), submit(FakePeers(hosts, answers)))
    }

    /** Guards against a caller that is told that its job has not run although an attempt may have been accepted. */
    @Test
    fun `a refusal after an attempt without a reply leaves the command undecided`() {
        val answers = listOf<Result<PeerReply, CallError>>(
            Err(CallError.NoReply("link closed")),
            Ok(PeerReply.NotDone("the command queue is full")),
        )
        assertIs<SubmitError.Undecided>(submit(FakePeers(hosts, answers)).getError())
    }

    /** Guards against the same when the later attempt was refused by the log, whatever the reason. */
    @Test
    fun `a refusal by the log after an attempt without a reply leaves the submission undecided`() {
        for (reason in Inadmissible.entries) {
            val refused = FleetAnswer.NotAdmitted(reason)
            val result = ask(submission, listOf(noReply, Ok(PeerReply.NotLeader(null)), Ok(PeerReply.Fleet(refused))))
            assertIs<SubmitError.Undecided>(result.getError(), "$reason")
            assertEquals(Ok(refused), ask(submission, listOf(notSent, Ok(PeerReply.Fleet(refused)))))
        }
    }

    /** Guards against a stored job whose caller waits for its whole timeout for an answer that can't change. */
    @Test
    fun `an outcome that no attempt can settle is reported at once`() {
        val peers = FakePeers(hosts, listOf(Ok(PeerReply.Undecided("stored", conclusive = true))))
        assertIs<SubmitError.Undecided>(submit(peers).getError())
        assertEquals(1, peers.asked.size)
    }

    /** Guards against reads and cancellations that stay without an answer after a lost reply. */
    @Test
    fun `a lost reply does not affect the answer that a job does not exist`() {
        val noJob = FleetAnswer.NotAdmitted(Inadmissible.NO_JOB)
        for (call in listOf(FleetCall.ReadJob(address), FleetCall.CancelJob(address))) {
            assertEquals(Ok(noJob), ask(call, listOf(noReply, Ok(PeerReply.Fleet(noJob)))))
        }
    }

    /** Guards against a cancellation that is reported as refused although an earlier attempt may have taken effect. */
    @Test
    fun `a refusal of a cancellation after an attempt without a reply leaves it undecided`() {
        val refused = PeerReply.Fleet(FleetAnswer.NotAdmitted(Inadmissible.BAD_KEY))
        val result = ask(FleetCall.CancelJob(address), listOf(noReply, Ok(refused)))
        assertIs<SubmitError.Undecided>(result.getError())
    }

    /** Guards against a job of a ledger that is reported as refused although an earlier attempt may have stored it. */
    @Test
    fun `a refusal by the ledger after an attempt without a reply leaves the command undecided`() {
        val refusal = LedgerReply.Rejected(Outcome.Refused(ErrorCode.OVERLOADED, "too many jobs wait"))
        val answers = listOf<Result<PeerReply, CallError>>(
            Err(CallError.NoReply("link closed")),
            Ok(PeerReply.Ledger(refusal)),
        )
        assertIs<SubmitError.Undecided>(submit(FakePeers(hosts, answers)).getError())
        assertEquals(Ok(refusal), submit(FakePeers(hosts, answers.drop(1))))
    }

    /** Guards against an order without an answer of which no log tells who was asked, when, and what each said. */
    @Test
    fun `each attempt is reported with its host and answer`() {
        val answers = listOf<Result<PeerReply, CallError>>(
            Err(CallError.NotSent("too large")),
            Ok(PeerReply.NotLeader(hosts[2], term = 7)),
            Err(CallError.NoReply("no reply within 5 ms")),
            Ok(PeerReply.Ok),
        )
        val peers = FakePeers(hosts, answers)
        val client = LeaderClient(peers, peers, { null }, { hosts }, HostClock())
        val attempts = ArrayList<LeaderAttempt>()
        val request = LeaderRequest(
            GroupName("workload"),
            null,
            PeerRequest.FleetMembers(),
            isRefusal = { false },
            onAttempt = { attempts += it },
        ) { reply -> decode(reply) { "done" } }
        assertEquals(Ok("done"), runBlocking { client.ask(request, TIMEOUT_MILLIS) })
        val expected = listOf(
            hosts[0] to "not sent: too large",
            hosts[1] to "not the leader, names three of term 7",
            hosts[2] to "undecided: no reply within 5 ms",
            hosts[2] to "applied",
        )
        assertEquals(expected, attempts.map { it.host to it.answer })
    }

    @Test
    fun `attempts with the same host and answer are reported as one`() {
        val attempts = listOf(0L, 50L, 100L).map { LeaderAttempt(hosts[0], it, tookMillis = 10, "refused") }
        val merged = attempts.fold(emptyList<LeaderAttempt>()) { list, attempt -> list.with(attempt) }
        assertEquals(listOf("one at 0 ms for 110 ms: refused (3 attempts)"), merged.map { "$it" })
    }

    private fun ask(call: FleetCall, answers: List<Result<PeerReply, CallError>>): Result<FleetAnswer, SubmitError> {
        val peers = FakePeers(hosts, answers)
        val client = LeaderClient(peers, peers, { null }, { hosts }, HostClock())
        return runBlocking { client.ask(leaderRequest(call), TIMEOUT_MILLIS) }
    }

    private fun submit(peers: FakePeers): Result<LedgerReply, SubmitError> {
        val leaderClient = LeaderClient(peers, peers, { null }, { hosts }, HostClock())
        val client = ClusterLedgerClient(leaderClient) { null }
        return runBlocking { client.submit(domain, LedgerCommand.TimePassed, TIMEOUT_MILLIS) }
    }

    /** Answers calls with [answers] in order, and then always with the last one. */
    private class FakePeers(
        hosts: List<HostName>,
        private val answers: List<Result<PeerReply, CallError>>,
    ) : PeerClient, PeerDirectory {
        val asked = mutableListOf<HostName>()

        override val self = peer(HostName("self"))

        override val others = hosts.map { peer(it) }

        override fun reachable() = others.map { it.host }.toSet()

        override suspend fun call(
            host: HostName,
            request: PeerRequest,
            timeoutMillis: Long,
        ): Result<PeerReply, CallError> {
            asked += host
            return answers[minOf(asked.size, answers.size) - 1]
        }

        private fun peer(host: HostName) = Peer(host, RegionName("dakar"), DomainName("dakar-a"), "127.0.0.1", 1)
    }

    private companion object {
        const val TIMEOUT_MILLIS = 400L
    }
}
