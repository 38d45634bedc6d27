package org.auburnlever.workload.sharing

import org.auburnlever.model.AccountName

/** Ranks client accounts by what they have had of their share. */
fun interface AccountOrder {
    /** Returns the rank of [account], null for calls without an account; work of a lower rank goes first. */
    fun rank(account: AccountName?): Int

    /** Returns the rank of [account] once its work that waits [ahead] has started as well. */
    fun rankAfter(account: AccountName?, ahead: ResourceTime): Int = rank(account)

    companion object {
        /** All accounts are equal. */
        val EQUAL = AccountOrder { 0 }
    }
}
