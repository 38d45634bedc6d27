package org.auburnlever.workload.leaderless

import org.auburnlever.model.HostName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class LeaderEvidenceTest {
    private val hosts = listOf("a", "b", "c", "d", "e", "f").map(::HostName)
    private val first = hosts[0]
    private val second = hosts[1]
    private val third = hosts[2]
    private val led = LeaderEvidence().observed(first, LeaderSign.NotLeading(null, term = 4), 0)
        .observed(first, LeaderSign.Answered, nowMillis = 1)

    /** Guards against calls that are sent to a frozen leader again because followers of its term still name it. */
    @Test
    fun `a frozen leader is not believed again until a higher term names it`() {
        val frozen = led.observed(first, LeaderSign.Silent, 100)
            .observed(second, LeaderSign.NotLeading(first, term = 4), 150)
        assertNull(frozen.leader)
        assertEquals(first, frozen.observed(third, LeaderSign.NotLeading(first, term = 6), 200).leader)
    }

    /** Guards against a deposed leader, awake again, that is named by a host which has not heard of its successor. */
    @Test
    fun `a host of an earlier term does not change the leader`() {
        val replaced = led.observed(second, LeaderSign.NotLeading(third, term = 5), 100)
        assertEquals(third, replaced.leader)
        assertEquals(third, replaced.observed(hosts[3], LeaderSign.NotLeading(first, term = 4), 120).leader)
        assertEquals(third, replaced.observed(first, LeaderSign.NotLeading(null, term = 4), 130).leader)
    }

    /** Guards against a new leader that is given up because it was asked just before it was ready. */
    @Test
    fun `a host that was not ready is believed once others name it`() {
        val early = led.observed(first, LeaderSign.Unreachable, 100)
            .observed(second, LeaderSign.NotLeading(null, term = 5), 200)
        assertEquals(second, early.observed(third, LeaderSign.NotLeading(second, term = 5), 250).leader)
    }

    /** Guards against a slow leader that is never asked again, so that all calls are refused. */
    @Test
    fun `a silent host is asked again after the others`() {
        val silent = hosts.drop(1).fold(led.observed(first, LeaderSign.Silent, 100)) { evidence, host ->
            evidence.observed(host, LeaderSign.NotLeading(first, term = 4), 150)
        }
        assertEquals(second, silent.nextHost(hosts))
        val later = hosts.drop(1).fold(silent) { evidence, host ->
            evidence.observed(host, LeaderSign.NotLeading(first, term = 4), 700)
        }
        assertEquals(first, later.nextHost(hosts))
    }

    /** Guards against calls that wait for an election which too few hosts are left to hold. */
    @Test
    fun `without a connected majority no election is expected`() {
        val lost = led.observed(first, LeaderSign.Unreachable, 100)
        assertIs<LeaderProspect.Electing>(lost.prospect(hosts, hosts.drop(1), 200))
        assertIs<LeaderProspect.HostsMissing>(lost.prospect(hosts, hosts.drop(3), 200))
    }
}
