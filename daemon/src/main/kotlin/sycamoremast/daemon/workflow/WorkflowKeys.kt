/** The keys under which workflows, their progress and the owner's records lie in the store. */
package sycamoremast.daemon.workflow

internal object WorkflowKeys {
    private const val ROOT = "sycamore/"

    /** Holds the work and its owners, so that one watch tells their changes in the store's order. */
    const val WORK = "${ROOT}work/"
    const val JOBS = "${WORK}job/"
    const val CANCELS = "${WORK}cancel/"

    /** Holds the entry hosts that are there. */
    const val HOSTS = "${ROOT}host/"

    fun host(name: String) = HOSTS + name

    fun job(id: String) = JOBS + id

    fun cancel(id: String) = CANCELS + id

    fun idOf(key: String) = key.substringAfterLast('/')

    fun progress(set: Int) = "${ROOT}progress/$set/"

    fun progress(set: Int, id: String) = progress(set) + id

    fun owner(set: Int) = "${WORK}owner/$set"

    fun epoch(set: Int) = "${ROOT}epoch/$set"

    fun roster(set: Int) = "${ROOT}roster/$set"

    fun waiting(set: Int) = "${ROOT}waiting/$set"
}
