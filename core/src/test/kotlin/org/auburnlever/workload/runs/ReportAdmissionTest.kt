package org.auburnlever.workload.runs

import org.auburnlever.model.ServiceName
import org.auburnlever.workload.Workload
import org.auburnlever.workload.report
import org.auburnlever.workload.state.WorkloadState
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ReportAdmissionTest {
    private val foreign = report("1", startMillis = 2).copy(service = ServiceName("inventory"))

    /** Guards against a running task that is started again since another writer used the id of its worker. */
    @Test
    fun `a report of a service that the desired state does not name is not taken`() {
        val state = Workload().withCatalog().state

        assertFalse(state.takes(foreign))
        assertTrue(state.takes(report("1", startMillis = 2)))
    }

    /** Guards against a fleet that is unknown when its first desired state arrives. */
    @Test
    fun `reports are taken before the first desired state`() = assertTrue(WorkloadState().takes(foreign))
}
