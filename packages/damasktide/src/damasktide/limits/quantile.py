"""Running estimate of a quantile that adapts to changes without storing samples."""

# Smallest step as a fraction of the running mean.
MIN_STEP_FRACTION = 0.05
# Smallest weight of a new sample in the running mean.
MIN_SAMPLE_WEIGHT = 0.05


class QuantileEstimate:
    """Estimates a quantile by stochastic approximation.

    Each sample moves the estimate up by ``p`` steps or down by ``1 - p`` steps, so that it
    converges to the value below which a fraction ``p`` of the samples lies. The step is
    proportional to the running mean. See Robbins and Monro, "A Stochastic Approximation Method"
    (1951).

    Parameters
    ----------
    p
        Fraction of samples below the quantile, from 0 to 1.
    """

    __slots__ = ("_mean", "_p", "count", "value")

    def __init__(self, p: float) -> None:
        self._p = p
        self._mean = 0.0
        self.value = 0.0
        self.count = 0

    def add(self, sample: float) -> None:
        """Update the estimate with a non-negative sample."""
        self.count += 1
        if self.count == 1:
            self._mean = self.value = sample
            return
        # The first samples weigh more, so that an initial outlier does not dominate.
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self.count)
        self._mean += weight * (sample - self._mean)
        step = max(MIN_STEP_FRACTION, 1.0 / self.count) * self._mean
        self.value += step * self._p if sample > self.value else -step * (1.0 - self._p)
        self.value = max(0.0, self.value)
