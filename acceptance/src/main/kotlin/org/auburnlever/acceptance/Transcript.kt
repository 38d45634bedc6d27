package org.auburnlever.acceptance

/**
 * Records the lines of a session and passes each to [print] as it is added.
 *
 * [normalised] replaces values that differ between two equal sessions: addresses, ids, digests, times and the endpoint
 * that was chosen at random.
 */
class Transcript(private val print: (String) -> Unit) {
    private val lines = mutableListOf<String>()
    private val placeholders = mutableMapOf<String, String>()

    /** Adds [line] and prints it. */
    fun add(line: String) {
        lines += line
        print(line)
    }

    /** Replaces [value] by [placeholder], in angle brackets, in the normalised lines. */
    fun mask(value: String, placeholder: String) {
        placeholders[value] = "<$placeholder>"
    }

    /** Returns the lines with placeholders for values that differ between equal sessions. */
    fun normalised(): List<String> = lines.map { normalise(it) }

    private fun normalise(line: String): String {
        val named = placeholders.entries.fold(line) { text, (value, placeholder) -> text.replace(value, placeholder) }
        return REPLACEMENTS.fold(named) { text, (pattern, replacement) -> pattern.replace(text, replacement) }
    }

    private companion object {
        val REPLACEMENTS = listOf(
            Regex("""127\.0\.0\.1:\d+""") to "<address>",
            Regex("""[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}""") to "<id>",
            Regex("""\b[0-9a-f]{64}\b""") to "<digest>",
            Regex(""""endpoint":"[^"]*"""") to "\"endpoint\":\"<endpoint>\"",
            Regex(""""requestId":"[^"]*"""") to "\"requestId\":\"<id>\"",
            Regex("""(Millis":)\d+""") to "$1<time>",
            Regex("""\d+ ms""") to "<time> ms",
        )
    }
}
