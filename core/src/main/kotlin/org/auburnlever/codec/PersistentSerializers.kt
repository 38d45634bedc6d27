package org.auburnlever.codec

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes a persistent map as a map in insertion order, so that a restored replica iterates in the same order. */
internal class PersistentMapSerializer<K, V>(
    keySerializer: KSerializer<K>,
    valueSerializer: KSerializer<V>,
) : KSerializer<PersistentMap<K, V>> {
    private val delegate = MapSerializer(keySerializer, valueSerializer)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentMap<K, V>) = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentMap<K, V> = delegate.deserialize(decoder).toPersistentMap()
}

/** Serializes a persistent list as a list. */
internal class PersistentListSerializer<T>(elementSerializer: KSerializer<T>) : KSerializer<PersistentList<T>> {
    private val delegate = ListSerializer(elementSerializer)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentList<T>) = delegate.serialize(encoder, value)

    override fun deserialize(decoder: Decoder): PersistentList<T> = delegate.deserialize(decoder).toPersistentList()
}

/** Serializes a persistent set as a list in insertion order. */
internal class PersistentSetSerializer<T>(elementSerializer: KSerializer<T>) : KSerializer<PersistentSet<T>> {
    private val delegate = ListSerializer(elementSerializer)

    override val descriptor: SerialDescriptor = delegate.descriptor

    override fun serialize(encoder: Encoder, value: PersistentSet<T>) = delegate.serialize(encoder, value.toList())

    override fun deserialize(decoder: Decoder): PersistentSet<T> = delegate.deserialize(decoder).toPersistentSet()
}
