/** The backend servers of each service, kept up to date from the platform's host list. */
package sycamoremast.daemon.request

import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import org.tinylog.kotlin.Logger
import sycamoremast.coordination.HostList
import sycamoremast.coordination.HostRole
import sycamoremast.coordination.HostState
import sycamoremast.coordination.ListedHost

internal class BackendDirectory(
    private val hostList: HostList,
    private val settings: RequestPathSettings,
    private val ownZone: String
) : AutoCloseable {
    private val lock = Any()
    private var backends = mapOf<String, Backend>()
    private val scheduler: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "host-list").apply { isDaemon = true }
        }

    fun start() {
        val period = settings.hostListRefreshMillis
        scheduler.scheduleWithFixedDelay(::refresh, 0, period, TimeUnit.MILLISECONDS)
    }

    /** Takes over the platform's present list; keeps the earlier one if it can't be read. */
    fun refresh() {
        try {
            hostList.hosts().fold(
                { Logger.warn("event=host-list-unread step=${it.step} peer=${it.peer}") },
                ::apply
            )
        } catch (e: RuntimeException) {
            Logger.error(e, "event=host-list-unread step=refresh")
        }
    }

    /** Returns the backend servers of [service] that get new work. */
    fun count(service: String): Int = synchronized(lock) {
        backends.values.count { it.host.service == service && !it.isLeaving }
    }

    /** Returns a backend server of [service] with one of its slots taken, or null. */
    fun acquire(service: String): Backend? = synchronized(lock) {
        val free = backends.values.filter { it.host.service == service && it.isFree() }
        val chosen = free.minWithOrNull(
            compareBy({ it.inUse }, { it.host.availabilityZone != ownZone })
        )
        chosen?.also { it.inUse++ }
    }

    /** Gives back a slot of [backend]. */
    fun release(backend: Backend) = synchronized(lock) {
        backend.inUse--
    }

    /** Gives no more work to [backend]. */
    fun leaving(backend: Backend) = synchronized(lock) {
        backend.isLeaving = true
    }

    override fun close() {
        scheduler.shutdownNow()
        synchronized(lock) { backends.values.forEach { it.close() } }
    }

    private fun apply(hosts: List<ListedHost>) = synchronized(lock) {
        val listed = hosts.filter { it.role == HostRole.BACKEND_SERVER }
        val next = listed.associate { it.name to keptOrNew(it) }
        backends.values.filter { it !in next.values }.forEach { it.isLeaving = true }
        backends = next
    }

    private fun keptOrNew(host: ListedHost): Backend {
        val kept = backends[host.name]
        if (kept == null || kept.host.address != host.address) return Backend(host)
        if (host.state == HostState.LEAVING) kept.isLeaving = true
        return kept
    }
}
