package org.auburnlever.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.auburnlever.host.HostClock
import org.auburnlever.host.SubmitError
import org.auburnlever.model.DomainName
import org.auburnlever.model.HostName
import org.auburnlever.model.RegionName
import org.auburnlever.peer.PeerReply
import org.auburnlever.peer.PeerRequest
import org.auburnlever.transport.CallError
import org.auburnlever.transport.Peer
import org.auburnlever.transport.PeerClient
import org.auburnlever.transport.PeerDirectory
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Inadmissible
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobSpec
import org.auburnlever.workload.state.Resources
import org.auburnlever.workload.state.StepSpec
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class LeaderlessAdmissionTest {
    private val clock = HostClock()
    private val hosts = FakeHosts(clock)
    private val watch = LeaderWatch(hosts, hosts, { hosts.members }, clock, SimpleMeterRegistry())
    private val admission = LeaderlessAdmission(watch, { emptyList() }, clock, SimpleMeterRegistry())

    private fun submit(number: Int = 1, workMillis: Long = 8_000, timeoutMillis: Long = 2_800) =
        runBlocking { submitting(number, workMillis, timeoutMillis) }

    private suspend fun submitting(
        number: Int,
        workMillis: Long,
        timeoutMillis: Long,
    ): Result<FleetAnswer, SubmitError> {
        val step = StepSpec(taskCount = 1, need = Resources(1, 1, 0), estimatedMillis = workMillis)
        val call = FleetCall.SubmitJob(JobAddress("jobs", "/q/$number", null), JobSpec("", listOf(step)))
        return admission.ask(call, timeoutMillis)
    }

    /** Guards against callers that are refused although the next leader is elected while they wait. */
    @Test
    fun `after the leader is killed, waiting calls are served by the next one`() {
        assertEquals(Ok(FleetAnswer.Done), submit())
        hosts.kill(hosts.members[0])
        hosts.electAfter(600, hosts.members[3])
        assertEquals(Ok(FleetAnswer.Done), submit())
        assertEquals(hosts.members[3], hosts.served.last())
    }

    /** Guards against a call that stays with a frozen leader, or whose outcome is not settled at the next one. */
    @Test
    fun `a call to a frozen leader is sent again to the next one before it times out`() {
        submit()
        hosts.frozen += hosts.members[0]
        hosts.electAfter(700, hosts.members[2])
        val startMillis = clock.nowMillis()
        assertEquals(Ok(FleetAnswer.Done), submit())
        assertTrue(clock.nowMillis() - startMillis < 1_400, "took ${clock.nowMillis() - startMillis} ms")
        // Awake again, the deposed leader still believes that it leads.
        hosts.frozen -= hosts.members[0]
        assertEquals(Ok(FleetAnswer.Done), submit())
        assertEquals(hosts.members[2], hosts.served.last())
    }

    /** Guards against an answer that claims an unknown outcome for a call that reached no leader. */
    @Test
    fun `a leader that is cut off leads to a refusal that names the time of return`() {
        submit()
        hosts.kill(hosts.members[0])
        val startMillis = clock.nowMillis()
        val error = assertIs<SubmitError.NotSubmitted>(submit(workMillis = 2_000).getError())
        assertTrue(assertNotNull(error.retryAfterMillis) >= 1_000)
        assertTrue(clock.nowMillis() - startMillis < 1_500, "took ${clock.nowMillis() - startMillis} ms")
    }

    /** Guards against an answer that says that a call had no effect although the frozen leader may have handled it. */
    @Test
    fun `a call that a frozen leader may have handled ends with an unknown outcome`() {
        submit()
        hosts.frozen += hosts.members[0]
        assertIs<SubmitError.Undecided>(submit(timeoutMillis = 1_000).getError())
    }

    /** Guards against a read that is reported as one whose outcome is unknown. */
    @Test
    fun `a read without an answer is not undecided`() {
        submit()
        hosts.frozen += hosts.members[0]
        val read = FleetCall.ReadJob(JobAddress("jobs", "/q/1", null))
        assertIs<SubmitError.NotSubmitted>(runBlocking { admission.ask(read, timeoutMillis = 1_000) }.getError())
    }

    /** Guards against a refusal by the next leader of a call that the frozen one may have handled. */
    @Test
    fun `a refusal by the log after a call to a frozen leader leaves the call undecided`() {
        submit()
        for ((term, reason) in Inadmissible.entries.withIndex()) {
            val leader = hosts.members[term]
            val next = hosts.members[(term + 1) % hosts.members.size]
            hosts.frozen += leader
            hosts.electAfter(300, next)
            hosts.answer = FleetAnswer.NotAdmitted(reason)
            assertIs<SubmitError.Undecided>(submit().getError(), "$reason")
            assertEquals(Ok(hosts.answer), submit(), "$reason without an attempt whose reply was lost")
            hosts.frozen -= leader
        }
    }

    /** Guards against a search whose load grows with the number of callers, after all control hosts are back. */
    @Test
    fun `many callers share one search, and all are served when the hosts are back within 2 s`() {
        hosts.members.forEach(hosts::kill)
        val results = runBlocking {
            val calls = (1..60).map { async { submitting(it, workMillis = 30_000, timeoutMillis = 2_800) } }
            delay(500)
            hosts.members.forEach(hosts::revive)
            hosts.electAfter(500, hosts.members[1])
            calls.awaitAll()
        }
        assertEquals(60, results.count { it == Ok(FleetAnswer.Done) })
        assertTrue(hosts.probes.get() < 60, "${hosts.probes} probes")
    }

    private class FakeHosts(private val clock: HostClock) : PeerClient, PeerDirectory {
        val members = List(6) { HostName("control-$it") }
        val served = ArrayList<HostName>()
        var answer: FleetAnswer = FleetAnswer.Done
        val frozen = HashSet<HostName>()
        val probes = AtomicInteger()
        private val killed = HashSet<HostName>()
        private var deposed: HostName? = null
        private var leader: HostName? = members[0]
        private var term = 1L
        private var next: Pair<Long, HostName>? = null

        override val self = Peer(HostName("entry"), RegionName(""), DomainName(""), "127.0.0.1", 1)
        override val others = emptyList<Peer>()

        override fun reachable() = members.filterNot { it in killed }.toSet()

        fun kill(host: HostName) {
            killed += host
            if (leader == host) leader = null
        }

        fun revive(host: HostName) {
            killed -= host
        }

        fun electAfter(millis: Long, host: HostName) {
            next = clock.nowMillis() + millis to host
        }

        override suspend fun call(
            host: HostName,
            request: PeerRequest,
            timeoutMillis: Long,
        ): Result<PeerReply, CallError> {
            holdElection()
            delay(if (host in frozen) timeoutMillis else LATENCY_MILLIS)
            return when {
                host in killed -> Err(CallError.NotSent("refused"))
                host in frozen -> Err(CallError.NoReply("frozen"))
                request is PeerRequest.FleetMembers -> Ok(members(host))
                host != leader -> Ok(PeerReply.NotLeader(leader, term))
                else -> Ok(PeerReply.Fleet(answer)).also { served += host }
            }
        }

        private fun members(host: HostName): PeerReply {
            probes.incrementAndGet()
            return if (host == deposed) {
                PeerReply.FleetMembers(members, host, term - 1)
            } else {
                PeerReply.FleetMembers(members, leader, term)
            }
        }

        private fun holdElection() {
            val (electedMillis, host) = next ?: return
            if (clock.nowMillis() < electedMillis) return
            deposed = leader
            leader = host
            term += 1
            next = null
        }
    }

    private companion object {
        const val LATENCY_MILLIS = 5L
    }
}
