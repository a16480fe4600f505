/** Plots of results, written as PNG files. */
package sycamoremast.bench

import java.nio.file.Path
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder

/** A line of a plot. */
data class Series(val name: String, val x: List<Double>, val y: List<Double>)

/** A plot with one or more lines over a common axis. */
data class ResultPlot(
    val name: String,
    val title: String,
    val xLabel: String,
    val yLabel: String,
    val series: List<Series>,
    val isLogarithmic: Boolean = false
) {
    /** Writes the plot to [directory] under its name. */
    fun writeTo(directory: Path) {
        val chart = XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle(xLabel)
            .yAxisTitle(yLabel)
            .build()
        chart.styler.isYAxisLogarithmic = isLogarithmic
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
