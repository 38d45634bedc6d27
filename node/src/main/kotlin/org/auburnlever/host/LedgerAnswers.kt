package org.auburnlever.host

import kotlinx.serialization.builtins.nullable
import org.auburnlever.codec.Codec
import org.auburnlever.ledger.Explanation
import org.auburnlever.ledger.LedgerState
import org.auburnlever.ledger.LedgerSummary
import org.auburnlever.ledger.explain
import org.auburnlever.ledger.summary
import org.auburnlever.ledger.view
import org.auburnlever.peer.LedgerQuery
import org.auburnlever.wire.JobView

/** Returns the answer to [query] as JSON. For another account's job it is `null`, as for a job that does not exist. */
internal fun LedgerState.answer(query: LedgerQuery): String = when (query) {
    is LedgerQuery.Job -> {
        val view = job(query.jobId)?.takeIf { it.account == query.account }?.let { view(it) }
        Codec.json.encodeToString(JobView.serializer().nullable, view)
    }

    is LedgerQuery.Explain ->
        Codec.json.encodeToString(Explanation.serializer(), explain(query.kind, query.name))

    LedgerQuery.Summary -> Codec.json.encodeToString(LedgerSummary.serializer(), summary())
}
