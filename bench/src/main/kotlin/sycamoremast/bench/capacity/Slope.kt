/** Straight lines through measured points. */
package sycamoremast.bench.capacity

/** The line of least squares: y = [intercept] + [slope] * x; [fit] is the share explained. */
data class Slope(val slope: Double, val intercept: Double, val fit: Double) {
    companion object {
        /**
         * Returns the line through the points of [x] and [y].
         *
         * @throws IllegalArgumentException if there are fewer than three points.
         */
        fun through(x: List<Double>, y: List<Double>): Slope {
            require(x.size == y.size && x.size >= MIN_POINTS) { "too few points: $x, $y" }
            val (meanX, meanY) = x.average() to y.average()
            val covariance = x.zip(y).sumOf { (a, b) -> (a - meanX) * (b - meanY) }
            val slope = covariance / x.sumOf { (it - meanX) * (it - meanX) }
            val intercept = meanY - slope * meanX
            val spread = y.sumOf { (it - meanY) * (it - meanY) }
            val error = x.zip(y).sumOf { (a, b) ->
                val off = b - intercept - slope * a
                off * off
            }
            return Slope(slope, intercept, if (spread == 0.0) 1.0 else 1 - error / spread)
        }

        private const val MIN_POINTS = 3
    }
}
