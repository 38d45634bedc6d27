package org.auburnlever.acceptance

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Runs the demo session with real processes and compares its transcript with `src/test/golden/session.txt`.
 *
 * Run with `-Dauburnlever.writeGolden=true` to rewrite the file after an intended change of the interface.
 */
class GoldenSessionTest {
    private val golden = Path.of("src/test/golden/session.txt")

    @Test
    fun `the session's answers and state changes are those of the golden file`() {
        // Guards against unintended changes of any answer, and against daemons that lose or repeat work.
        val folder = Files.createTempDirectory("auburnlever-golden")
        val transcript = Transcript { }
        Deployment(folder).use { Session(it, transcript).run() }
        val text = transcript.normalised().joinToString("\n", postfix = "\n")
        if (System.getProperty("auburnlever.writeGolden") == "true") Files.writeString(golden, text)
        assertEquals(Files.readString(golden), text, "the logs of the processes are in $folder")
        folder.toFile().deleteRecursively()
    }
}
