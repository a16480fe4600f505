/** An HTTP client for callers, operators and the faults of the stand-ins. */
package sycamoremast.integration

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer

/** The JSON format of all HTTP interfaces. */
internal val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** A complete HTTP response; the [headers] have lower-case names. */
internal data class Response(val status: Int, val headers: Map<String, String>, val body: String) {
    fun header(name: String): String? = headers[name.lowercase()]

    inline fun <reified T> read(): T {
        check(status in 200..299) { "status $status: $body" }
        return json.decodeFromString(serializer<T>(), body)
    }
}

/** An HTTP client for the host and port [address]. */
internal class TestHttp(private val address: String) {
    fun get(path: String): Response = send("GET", path)

    fun post(path: String, body: String = "", headers: Map<String, String> = mapOf()): Response =
        send("POST", path, body, headers)

    /**
     * Sends a request and returns the complete response.
     *
     * @throws IOException if there is none
     */
    fun send(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = mapOf()
    ): Response {
        val request = HttpRequest.newBuilder(URI("http://$address$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        val headerValues = response.headers().map().entries
            .associate { (name, values) -> name.lowercase() to values.first() }
        return Response(response.statusCode(), headerValues, response.body())
    }

    /** Returns the response to a GET of [path], or null if there is none. */
    fun getOrNull(path: String): Response? = try {
        get(path)
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val TIMEOUT_SECONDS = 30L
        val client: HttpClient = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build()
    }
}
