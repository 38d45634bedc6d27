package org.auburnlever.model

import kotlinx.serialization.Serializable

/** Name of a region, for example `thies`. */
@Serializable
@JvmInline
value class RegionName(val value: String) {
    override fun toString(): String = value
}

/** Name of a failure domain, for example `thies-a`. */
@Serializable
@JvmInline
value class DomainName(val value: String) {
    override fun toString(): String = value
}

/** Name of a host that runs `auburnd`. */
@Serializable
@JvmInline
value class HostName(val value: String) {
    override fun toString(): String = value
}

/** Name of a client account. */
@Serializable
@JvmInline
value class AccountName(val value: String) {
    override fun toString(): String = value
}

/** Name of a service that client accounts call or submit jobs for. */
@Serializable
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Name of an endpoint, unique within the deployment. */
@Serializable
@JvmInline
value class EndpointName(val value: String) {
    override fun toString(): String = value
}

/** Name of a worker, unique within its failure domain. */
@Serializable
@JvmInline
value class WorkerName(val value: String) {
    override fun toString(): String = value
}

/** Name of a rack, unique within its failure domain. */
@Serializable
@JvmInline
value class RackName(val value: String) {
    override fun toString(): String = value
}

/** Name of an operator whose public key is in the bundle. */
@Serializable
@JvmInline
value class OperatorName(val value: String) {
    override fun toString(): String = value
}
