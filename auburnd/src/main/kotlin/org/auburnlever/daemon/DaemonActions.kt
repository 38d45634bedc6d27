package org.auburnlever.daemon

import com.github.michaelbull.result.Result
import org.auburnlever.settings.Settings

/**
 * What the daemon does with valid settings.
 *
 * [format] creates the data folder for a first start. [run] starts a host with the shared key and returns when the
 * host has shut down; the error says why it could not start or had to stop.
 */
class DaemonActions(
    val format: (Settings) -> Result<Unit, String>,
    val run: (Settings, sharedKey: ByteArray) -> Result<Unit, String>,
)
