/** The store's keys of workflows, their progress, the owner's records and the hosts. */
package sycamoremast.daemon.workflow

internal object WorkflowKeys {
    private const val ROOT = "sycamore/"

    /** Contains workflows and owners, so that one watch reports the changes of both in order. */
    const val WORK = "${ROOT}work/"
    const val JOBS = "${WORK}job/"
    const val CANCELS = "${WORK}cancel/"

    /** Contains the registered entry hosts. */
    const val HOSTS = "${ROOT}host/"

    /** Holds nothing; reading it shows whether the store answers. */
    const val PROBE = "${ROOT}probe"

    fun host(name: String) = HOSTS + name

    fun job(id: String) = JOBS + id

    fun cancel(id: String) = CANCELS + id

    /** Contains all progress of the set if [id] is empty. */
    fun progress(set: Int, id: String = "") = "${ROOT}progress/$set/$id"

    fun owner(set: Int) = "${WORK}owner/$set"

    /** Shows [detail] of the owner, under the owner's key so that the same watch reports both. */
    fun owner(set: Int, detail: OwnerDetail) = "${owner(set)}/${detail.segment}"

    fun epoch(set: Int) = "${ROOT}epoch/$set"

    fun roster(set: Int) = "${ROOT}roster/$set"

    fun waiting(set: Int) = "${ROOT}waiting/$set"

    fun interference(set: Int) = "${ROOT}interference/$set"
}

/** Returns the last segment of a key, which names a workflow or a host. */
internal fun String.lastSegment() = substringAfterLast('/')
