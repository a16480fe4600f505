/** An HTTP client and a polling helper for the tests of the stand-ins. */
package sycamoremast.standins

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

internal class Http(private val port: Int) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun get(path: String, headers: Map<String, String> = emptyMap()) =
        send("GET", path, "", headers)

    fun post(path: String, body: String = "", headers: Map<String, String> = emptyMap()) =
        send("POST", path, body, headers)

    fun send(
        method: String,
        path: String,
        body: String,
        headers: Map<String, String>
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }
}

/** Polls [condition] until it holds; fails after 10 s. */
internal fun eventually(what: String, condition: () -> Boolean) {
    val end = System.nanoTime() + 10_000_000_000
    while (!condition()) {
        check(System.nanoTime() < end) { "timed out waiting until $what" }
        Thread.sleep(5)
    }
}
