"""A running estimate of a quantile that follows changes and stores no samples."""

STEP = 0.05
MEAN_WEIGHT = 0.05


class QuantileEstimate:
    """Estimates a quantile by stochastic approximation.

    Each sample moves the estimate up by ``p`` steps or down by ``1 - p`` steps, so that it
    comes to rest where a fraction ``p`` of the samples lies below. The step follows the mean.
    See Robbins and Monro, "A Stochastic Approximation Method" (1951).

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
        """Take in a sample that is not negative."""
        self.count += 1
        if self.count == 1:
            self._mean = self.value = sample
            return
        # The first samples weigh more, so that the estimate does not start from one outlier.
        weight = max(MEAN_WEIGHT, 1.0 / self.count)
        self._mean += weight * (sample - self._mean)
        step = max(STEP, 1.0 / self.count) * self._mean
        self.value += step * self._p if sample > self.value else -step * (1.0 - self._p)
        self.value = max(0.0, self.value)
