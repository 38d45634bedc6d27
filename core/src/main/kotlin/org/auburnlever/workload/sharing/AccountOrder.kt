package org.auburnlever.workload.sharing

import org.auburnlever.model.AccountName

/** Ranks client accounts by what they have had of their share. */
fun interface AccountOrder {
    /** Returns the rank of [account], null for calls without an account; work of a lower rank goes first. */
    fun rank(account: AccountName?): Int

    companion object {
        /** All accounts are equal. */
        val EQUAL = AccountOrder { 0 }
    }
}
