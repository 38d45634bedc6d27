package org.auburnlever.acceptance

/**
 * The lines of a session, printed as they arise and compared afterwards.
 *
 * [normalised] replaces what differs between two equal sessions: addresses, ids, digests, times and the endpoint that
 * was chosen at random.
 */
class Transcript(private val print: (String) -> Unit) {
    private val lines = mutableListOf<String>()
    private val placeholders = mutableMapOf<String, String>()

    /** Adds a line. */
    fun add(line: String) {
        lines += line
        print(line)
    }

    /** Shows [value] as [placeholder] in the normalised lines. */
    fun mask(value: String, placeholder: String) {
        placeholders[value] = "<$placeholder>"
    }

    /** The lines without what differs between equal sessions. */
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
