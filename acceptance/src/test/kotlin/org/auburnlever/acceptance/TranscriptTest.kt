package org.auburnlever.acceptance

import kotlin.test.Test
import kotlin.test.assertEquals

class TranscriptTest {
    @Test
    fun `ids, addresses, digests and times are replaced and everything else is kept`() {
        // Guards against transcripts that differ from run to run, and against masking that hides a changed answer.
        val transcript = Transcript { }
        transcript.mask("1796357245-charge", "key charge")
        transcript.add("""key=1796357245-charge at 127.0.0.1:4711 {"waitedMillis":12,"run":1,"endpoint":"thies-a-0"}""")
        transcript.add("digest ${"ab".repeat(32)} id 0a1b2c3d-0000-1111-2222-333344445555 in 5000 ms, version 2")
        val expected = listOf(
            """key=<key charge> at <address> {"waitedMillis":<time>,"run":1,"endpoint":"<endpoint>"}""",
            "digest <digest> id <id> in <time> ms, version 2",
        )
        assertEquals(expected, transcript.normalised())
    }
}
