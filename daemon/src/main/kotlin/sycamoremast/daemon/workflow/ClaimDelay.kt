/** How long a host leaves the claim of a worker set to hosts that would make a better owner. */
package sycamoremast.daemon.workflow

/** The delay before a claim, by its reasons. */
internal data class ClaimDelay(
    val strongerHostMillis: Long,
    val uninformedMillis: Long,
    val returningOwnerMillis: Long
) {
    val millis: Long get() = strongerHostMillis + uninformedMillis + returningOwnerMillis

    companion object {
        val NONE = ClaimDelay(0, 0, 0)

        /** Lets stronger hosts claim first; costs less time than a weak owner would lose. */
        private const val STRONGER_HOST_MILLIS = 600L

        /** Several times as long as a host takes to learn that the owner's key was deleted. */
        private const val UNINFORMED_MILLIS = 300L

        /** As long as an owner takes to notice that its lease has ended, and to claim again. */
        private const val RETURNING_OWNER_MILLIS = 500L

        /**
         * Returns the delay of a host that [hasStrongerHost], [isUninformed] of the last owner's
         * heartbeats, or believes that the last owner [mayOwnerReturn].
         */
        fun from(hasStrongerHost: Boolean, isUninformed: Boolean, mayOwnerReturn: Boolean) =
            ClaimDelay(
                if (hasStrongerHost) STRONGER_HOST_MILLIS else 0,
                if (isUninformed) UNINFORMED_MILLIS else 0,
                if (mayOwnerReturn) RETURNING_OWNER_MILLIS else 0
            )
    }
}
