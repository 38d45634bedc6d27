package org.auburnlever.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.auburnlever.host.SubmitError
import org.auburnlever.host.notSubmitted
import org.auburnlever.model.DomainName
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Catalog
import org.auburnlever.workload.state.Inadmissible
import org.auburnlever.workload.state.JobAddress
import org.auburnlever.workload.state.JobSpec
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class FleetCallLogTest {
    private val registry = SimpleMeterRegistry()
    private val log = FleetCallLog(registry)

    /** Guards against orders whose fate on a host can't be read from its metrics. */
    @Test
    fun `calls are timed by kind and outcome`() {
        val evacuation = FleetCall.Evacuate(DomainName("a"))
        log.record(evacuation, Ok(FleetAnswer.Done), emptyList(), tookMillis = 20, nowMillis = 0)
        log.record(evacuation, Err(notSubmitted("no leader")), emptyList(), tookMillis = 1_000, nowMillis = 0)
        log.record(evacuation, Err(SubmitError.Undecided("no reply")), emptyList(), tookMillis = 2_500, nowMillis = 0)
        log.record(FleetCall.WorkerLeft("w"), Ok(FleetAnswer.Done), emptyList(), tookMillis = 30, nowMillis = 0)

        fun millis(call: String, outcome: String) =
            registry.get("auburn.leader.call").tags("call", call, "outcome", outcome).timer()
                .totalTime(TimeUnit.MILLISECONDS)
        assertEquals(20.0, millis("evacuation", "answered"))
        assertEquals(1_000.0, millis("evacuation", "not_submitted"))
        assertEquals(2_500.0, millis("evacuation", "undecided"))
        assertEquals(30.0, millis("departure", "answered"))
    }

    /** Guards against refused submissions whose evidence is neither logged nor counted. */
    @Test
    fun `refusals are counted by their evidence`() {
        val submission = FleetCall.SubmitJob(JobAddress("host", "/q/1", key = null), JobSpec("", emptyList()))
        val refused = Ok(FleetAnswer.NotAdmitted(Inadmissible.BAD_KEY))
        log.record(submission, refused, emptyList(), tookMillis = 20, nowMillis = 0)
        log.record(submission, Err(notSubmitted("no leader")), emptyList(), tookMillis = 20, nowMillis = 0)
        log.record(submission, Err(SubmitError.Undecided("no reply")), emptyList(), tookMillis = 20, nowMillis = 0)
        log.record(FleetCall.ReadJob(submission.address), refused, emptyList(), tookMillis = 20, nowMillis = 0)

        val counts = registry.find("auburn.leader.refusals").counters()
            .associate { it.id.getTag("evidence") to it.count() }
        assertEquals(mapOf("REFUSED_BY_LOG" to 1.0, "NOT_HANDED_ON" to 1.0), counts)
    }

    /** Guards against a log that is filled by refusals while no host leads. */
    @Test
    fun `lines beyond the limit are left out and counted`() {
        val limit = LogLimit(linesPerSecond = 2)
        assertEquals(listOf(0, 0, null, null), List(4) { limit.admit(nowMillis = 5_000) })
        assertEquals(2, limit.admit(nowMillis = 6_000))
    }

    /** Guards against an order that can't be found in the logs of all hosts by one search. */
    @Test
    fun `orders are named by what they concern`() {
        val catalog = Catalog(version = 7, emptyList(), emptyList(), emptyList())
        val orders = listOf(
            FleetCall.ChangeCatalog(catalog, "{}"),
            FleetCall.EndEvacuation(DomainName("a")),
            FleetCall.CancelJob(JobAddress("host", "/queue/00000000000000a1", key = null)),
            FleetCall.WorkerLeft("i-1"),
            FleetCall.ReadCatalog,
        )
        assertEquals(listOf("7", "a", "00000000000000a1", "i-1", null), orders.map { it.order })
    }
}
