package org.auburnlever.ctl

import java.net.URLEncoder

/** Encodes [text] as one segment of a path. */
internal fun pathSegment(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
