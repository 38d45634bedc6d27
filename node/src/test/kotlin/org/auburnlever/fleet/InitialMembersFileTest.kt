package org.auburnlever.fleet

import com.github.michaelbull.result.get
import org.auburnlever.consensus.ReplicaId
import org.auburnlever.model.HostName
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class InitialMembersFileTest {
    private val folder: Path = createTempDirectory("initial-members")
    private val seedHosts = listOf("10.0.0.1", "10.0.0.2", "10.0.0.3").map(::HostName)
    private val others = listOf("10.0.0.7", "10.0.0.8", "10.0.0.9").map(::HostName)

    @AfterTest
    fun removeFolder() {
        folder.toFile().deleteRecursively()
    }

    private fun open(host: HostName, seeds: List<HostName>, firstStart: Boolean): Pair<ReplicaId, Set<HostName>> {
        val (opened, membership) = assertNotNull(InitialMembersFile(folder).openReplica(host, seeds, firstStart).get())
        opened.store.close()
        return opened.replica to membership.roles.keys.map { it.host }.toSet()
    }

    @Test
    fun `an initial member keeps its first membership although later settings name other seed hosts`() {
        val first = open(seedHosts[0], seedHosts, firstStart = true)
        val later = open(seedHosts[0], others + seedHosts[0], firstStart = true)

        assertEquals(seedHosts.toSet(), first.second)
        assertEquals(first, later)
    }

    @Test
    fun `a seed host with a lost disk gets a new identity and no vote`() {
        val (replica, members) = open(seedHosts[0], seedHosts, firstStart = false)

        assertTrue(replica.incarnation > 1)
        assertTrue(members.isEmpty())
    }

    @Test
    fun `a host that is not a seed host does not bootstrap a group on the first start`() {
        val (replica, members) = open(others[0], seedHosts, firstStart = true)

        assertTrue(replica.incarnation > 1)
        assertTrue(members.isEmpty())
    }
}
