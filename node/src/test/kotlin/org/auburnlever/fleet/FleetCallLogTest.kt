package org.auburnlever.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.auburnlever.host.SubmitError
import org.auburnlever.model.DomainName
import org.auburnlever.workload.FleetAnswer
import org.auburnlever.workload.FleetCall
import org.auburnlever.workload.state.Catalog
import org.auburnlever.workload.state.JobAddress
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
        log.record(evacuation, Ok(FleetAnswer.Done), emptyList(), tookMillis = 20)
        log.record(evacuation, Err(SubmitError.NotSubmitted("no leader")), emptyList(), tookMillis = 1_000)
        log.record(evacuation, Err(SubmitError.Undecided("no reply")), emptyList(), tookMillis = 2_500)
        log.record(FleetCall.WorkerLeft("w"), Ok(FleetAnswer.Done), emptyList(), tookMillis = 30)

        fun millis(call: String, outcome: String) =
            registry.get("auburn.leader.call").tags("call", call, "outcome", outcome).timer()
                .totalTime(TimeUnit.MILLISECONDS)
        assertEquals(20.0, millis("evacuation", "answered"))
        assertEquals(1_000.0, millis("evacuation", "not_submitted"))
        assertEquals(2_500.0, millis("evacuation", "undecided"))
        assertEquals(30.0, millis("departure", "answered"))
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
