package org.auburnlever.codec

import java.io.ByteArrayOutputStream
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterOutputStream

/** Returns these bytes compressed with DEFLATE at the fastest level. */
fun Bytes.deflated(): Bytes {
    val deflater = Deflater(Deflater.BEST_SPEED)
    val output = ByteArrayOutputStream()
    try {
        DeflaterOutputStream(output, deflater).use { it.write(toByteArray()) }
    } finally {
        deflater.end()
    }
    return Bytes(output.toByteArray())
}

/** Returns the bytes that [deflated] compressed; throws `java.util.zip.ZipException` if these are others. */
fun Bytes.inflated(): Bytes {
    val output = ByteArrayOutputStream()
    InflaterOutputStream(output).use { it.write(toByteArray()) }
    return Bytes(output.toByteArray())
}
