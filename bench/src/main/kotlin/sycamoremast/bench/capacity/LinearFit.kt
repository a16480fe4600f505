/** Linear least-squares regression. */
package sycamoremast.bench.capacity

/**
 * The least-squares line y = [intercept] + [slope] * x.
 *
 * [rSquared] is the coefficient of determination.
 */
data class LinearFit(val slope: Double, val intercept: Double, val rSquared: Double) {
    companion object {
        /**
         * Returns the line fitted to the points with coordinates [x] and [y].
         *
         * @throws IllegalArgumentException if the sizes differ or are less than three.
         */
        fun through(x: List<Double>, y: List<Double>): LinearFit {
            require(x.size == y.size && x.size >= MIN_POINTS) { "too few points: $x, $y" }
            val (meanX, meanY) = x.average() to y.average()
            val covariance = x.zip(y).sumOf { (a, b) -> (a - meanX) * (b - meanY) }
            val slope = covariance / x.sumOf { (it - meanX) * (it - meanX) }
            val intercept = meanY - slope * meanX
            val ssTotal = y.sumOf { (it - meanY) * (it - meanY) }
            val ssError = x.zip(y).sumOf { (a, b) ->
                val residual = b - intercept - slope * a
                residual * residual
            }
            return LinearFit(slope, intercept, if (ssTotal == 0.0) 1.0 else 1 - ssError / ssTotal)
        }

        private const val MIN_POINTS = 3
    }
}
