/** The keys under which workflows, their progress and the owner's records lie in the store. */
package sycamoremast.daemon.workflow

internal object WorkflowKeys {
    private const val ROOT = "sycamore/"
    const val JOBS = "${ROOT}job/"
    const val CANCELS = "${ROOT}cancel/"

    fun job(id: String) = JOBS + id

    fun cancel(id: String) = CANCELS + id

    fun idOf(key: String) = key.substringAfterLast('/')

    fun progress(set: Int) = "${ROOT}progress/$set/"

    fun progress(set: Int, id: String) = progress(set) + id

    fun owner(set: Int) = "${ROOT}owner/$set"

    fun epoch(set: Int) = "${ROOT}epoch/$set"

    fun roster(set: Int) = "${ROOT}roster/$set"

    fun waiting(set: Int) = "${ROOT}waiting/$set"
}
