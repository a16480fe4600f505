/** Result plots, written as PNG files. */
package sycamoremast.bench

import java.nio.file.Path
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder

/** One line of a plot; [x] and [y] have the same size. */
data class Series(val name: String, val x: List<Double>, val y: List<Double>)

/**
 * A plot of one or more series over a common x-axis.
 *
 * [isYLogarithmic] selects a logarithmic y-axis. Empty series are left out.
 */
data class ResultPlot(
    val name: String,
    val title: String,
    val xLabel: String,
    val yLabel: String,
    val series: List<Series>,
    val isYLogarithmic: Boolean = false
) {
    /** Writes the plot to [directory] as [name] with the extension `.png`. */
    fun writeTo(directory: Path) {
        val chart = XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle(xLabel)
            .yAxisTitle(yLabel)
            .build()
        chart.styler.isYAxisLogarithmic = isYLogarithmic
        series.filter { it.x.isNotEmpty() }
            .forEach { chart.addSeries(it.name, it.x.toDoubleArray(), it.y.toDoubleArray()) }
        BitmapEncoder.saveBitmap(
            chart,
            directory.resolve(name).toString(),
            BitmapEncoder.BitmapFormat.PNG
        )
    }

    companion object {
        private const val WIDTH_PIXELS = 900
        private const val HEIGHT_PIXELS = 540
    }
}
