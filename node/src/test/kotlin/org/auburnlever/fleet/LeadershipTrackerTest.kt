package org.auburnlever.fleet

import com.github.michaelbull.result.getOrThrow
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.auburnlever.consensus.Membership
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.consensus.ReplicaMessage
import org.auburnlever.consensus.ReplicaRole
import org.auburnlever.host.GroupContext
import org.auburnlever.host.GroupRunner
import org.auburnlever.host.HostClock
import org.auburnlever.model.HostName
import org.auburnlever.peer.GroupName
import org.auburnlever.storage.LogStore
import org.auburnlever.workload.Coordinator
import org.auburnlever.workload.WorkloadLimits
import java.nio.file.Files
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNotSame

class LeadershipTrackerTest {
    private val folder = Files.createTempDirectory("leadership-tracker")
    private val registry = SimpleMeterRegistry()
    private val host = HostName("one")

    @AfterTest
    fun removeFiles() {
        folder.toFile().deleteRecursively()
    }

    private object SilentGroupContext : GroupContext {
        override fun send(group: GroupName, from: ReplicaId, to: ReplicaId, message: ReplicaMessage) = Unit

        override fun fail(message: String, cause: Throwable?): Unit = throw IllegalStateException(message, cause)
    }

    private fun tracker(): LeadershipTracker {
        LogStore.format(folder, host)
        val opened = LogStore.open(folder, host).getOrThrow { IllegalStateException(it.message) }
        val membership = Membership(mapOf(ReplicaId(host, 1) to ReplicaRole.VOTER))
        val clock = HostClock()
        val runner =
            GroupRunner(WORKLOAD_GROUP, opened, membership, WorkloadStateMachine, SilentGroupContext, clock)
        return LeadershipTracker(runner, clock, DecisionLog(registry)) { term, electedMillis ->
            Coordinator(term, electedMillis, WorkloadLimits())
        }
    }

    /** Guards against one unexpected error that stops the leader, and then the next leader, and so on. */
    @Test
    fun `a decision that fails has no effect, and a new coordinator of the same term takes over`() {
        val leadership = LeadershipTerm(term = 3, readyIndex = 0)
        val first = Coordinator(term = 3, electedMillis = 0, WorkloadLimits())
        leadership.coordinator = first

        val effects = tracker().decide(leadership) { throw NoSuchElementException("no worker of that name") }
        assertEquals(emptyList(), effects)
        assertNotSame(first, assertNotNull(leadership.coordinator))
        assertEquals(1.0, registry.counter("auburn.decision.failures").count())
    }
}
