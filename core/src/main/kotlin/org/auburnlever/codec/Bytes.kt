package org.auburnlever.codec

import kotlinx.serialization.Serializable

/** An immutable byte array with equality by content. */
@Serializable
class Bytes(private val array: ByteArray) {
    /** Number of bytes. */
    val size: Int get() = array.size

    /** Returns a copy of the bytes, so that callers can't modify this value. */
    fun toByteArray(): ByteArray = array.copyOf()

    /** Copies the bytes from [start] until before [end]. */
    fun slice(start: Int, end: Int): Bytes = Bytes(array.copyOfRange(start, end))

    override fun equals(other: Any?): Boolean = other is Bytes && array.contentEquals(other.array)

    override fun hashCode(): Int = array.contentHashCode()

    override fun toString(): String = "Bytes($size)"

    companion object {
        /** The empty byte array. */
        val EMPTY = Bytes(ByteArray(0))

        /** Encodes [text] as UTF-8. */
        fun of(text: String): Bytes = Bytes(text.encodeToByteArray())

        /** Concatenates [parts] in order. */
        fun concat(parts: List<Bytes>): Bytes {
            val joined = ByteArray(parts.sumOf { it.size })
            var offset = 0
            for (part in parts) {
                part.array.copyInto(joined, offset)
                offset += part.size
            }
            return Bytes(joined)
        }
    }
}

/** Decodes the bytes as UTF-8. */
fun Bytes.decodeToString(): String = toByteArray().decodeToString()
