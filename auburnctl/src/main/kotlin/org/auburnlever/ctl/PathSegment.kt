package org.auburnlever.ctl

import java.net.URLEncoder

/** Percent-encodes [text] as one segment of a URL path. */
internal fun pathSegment(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
