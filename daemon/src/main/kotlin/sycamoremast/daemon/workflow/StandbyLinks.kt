/** The link of a worker set's owner to the hosts that may succeed it. */
package sycamoremast.daemon.workflow

/** Tells the scheduler which hosts may succeed this one, and announces heartbeats to them. */
internal interface StandbyLinks {
    /** The name of this host. */
    val ownName: String

    /** The names of all registered hosts, this one included; none before they are known. */
    val registeredHosts: Set<String>

    /** Sends heartbeat [number] of the owner of [epoch] to [hosts]; returns at once. */
    fun announce(epoch: Long, number: Long, hosts: Set<String>)

    /** Asks [hosts], for the owner of [epoch], for their last acknowledgement to [lastEpoch]. */
    fun ask(epoch: Long, lastEpoch: Long, hosts: Set<String>)

    /** The absence of peers. */
    object None : StandbyLinks {
        override val ownName = ""
        override val registeredHosts = emptySet<String>()

        override fun announce(epoch: Long, number: Long, hosts: Set<String>) = Unit

        override fun ask(epoch: Long, lastEpoch: Long, hosts: Set<String>) = Unit
    }
}
