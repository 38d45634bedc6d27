package org.auburnlever.daemon

import com.github.michaelbull.result.Result
import org.auburnlever.settings.Settings

/**
 * The actions that `auburnd` can run with valid settings.
 *
 * [format] creates the data folder for the first start. [run] starts a host with the shared key and returns after the
 * host has shut down; its error says why the host could not start or had to stop.
 */
class DaemonActions(
    val format: (Settings) -> Result<Unit, String>,
    val run: (Settings, sharedKey: ByteArray) -> Result<Unit, String>,
)
