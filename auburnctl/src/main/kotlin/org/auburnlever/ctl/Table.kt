package org.auburnlever.ctl

/** Returns the lines of a table whose columns are as wide as their widest cell; null cells are shown as `-`. */
internal fun tableLines(header: List<String>, rows: List<List<Any?>>): List<String> {
    val cells = listOf(header) + rows.map { row -> row.map { it?.toString() ?: "-" } }
    val widths = header.indices.map { column -> cells.maxOf { it[column].length } }
    return cells.map { row ->
        row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
