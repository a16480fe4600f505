/** Plain HTTP for callers, operators and the switches of the stand-ins. */
package sycamoremast.integration

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer

/** The JSON of all HTTP interfaces. */
internal val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** A whole HTTP answer. */
internal data class Answer(val status: Int, val headers: Map<String, String>, val body: String) {
    fun header(name: String): String? = headers[name.lowercase()]

    inline fun <reified T> read(): T {
        check(status in 200..299) { "status $status: $body" }
        return json.decodeFromString(serializer<T>(), body)
    }
}

/** Calls one address. */
internal class TestHttp(private val address: String) {
    fun get(path: String): Answer = send("GET", path)

    fun post(path: String, body: String = "", headers: Map<String, String> = mapOf()): Answer =
        send("POST", path, body, headers)

    /** Returns the whole answer. @throws IOException if there is none */
    fun send(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = mapOf()
    ): Answer {
        val request = HttpRequest.newBuilder(URI("http://$address$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        val firsts = response.headers().map().entries
            .associate { (name, values) -> name.lowercase() to values.first() }
        return Answer(response.statusCode(), firsts, response.body())
    }

    /** Returns the answer, or null if there is none. */
    fun getOrNull(path: String): Answer? = try {
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
