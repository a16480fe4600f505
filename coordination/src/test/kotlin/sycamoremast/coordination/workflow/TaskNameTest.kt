package sycamoremast.coordination.workflow

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class TaskNameTest {
    @Test
    fun `parses the text of a name to an equal name`() {
        val name = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
        expectThat(name.toString()).isEqualTo("5c0e7a21d94b36f8.0.1.17")
        expectThat(TaskName.parse(name.toString())).isEqualTo(name)
    }

    @Test
    fun `rejects text that is not a task name`() {
        listOf("", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", ".1.2.3", "a.1.2.3.4").forEach {
            expectThat(TaskName.parseOrNull(it)).isNull()
        }
        expectThrows<IllegalArgumentException> { TaskName.parse("a.b.c.d") }
    }
}
