"""Sequential change detection: tests whether one version is worse than the others.

Whenever both sides have new answers, the test places a bet: with the mean losses (0 to
1) since the last bet, the difference is d = own - others - margin, and the evidence R
becomes max(R, 1) * (1 + bet * d).  R never exceeds the Shiryaev-Roberts statistic of
the same bets.  As long as the version is worse by at most the margin, that statistic
minus the number of bets is a supermartingale, so R needs at least A bets on average to
reach a threshold A, whatever the distribution of the losses.  Unlike a test of fixed
length it can be read after every answer, and it detects a version that turns bad late.

Each answer counts in one bet only, against answers of the same period, so a fault that
all versions share raises both sides and has no effect.  A comparison with the running
mean of the others detects failures in fewer answers, but mistakes a shared fault for a
bad version, and a healthy old version for a bad one if the new version's few answers
happen to be good.
"""

# Differences in mean loss up to this are ignored.
MARGIN = 0.1

# Stakes per unit of difference, for small lasting differences up to outright failure.
# They are below 1 / (1 + MARGIN), so that evidence stays positive.
BETS = (0.1, 0.4, 0.88)

# Weight of a new answer in the means shown to operators, which thus cover about the
# last hundred answers.
MEAN_WEIGHT = 1 / 50

# Upper bound of the evidence; it limits how long a repaired version takes to lose it.
MAX_EVIDENCE = 10_000.0


class Mean:
    """A moving average over the latest samples."""

    __slots__ = ("samples", "value")

    def __init__(self) -> None:
        self.samples = 0
        self.value = 0.0

    def add(self, value: float) -> None:
        """Add one value."""
        self.samples += 1
        weight = max(1 / self.samples, MEAN_WEIGHT)
        self.value += (value - self.value) * weight


class Batch:
    """The losses since the last bet."""

    __slots__ = ("count", "total")

    def __init__(self) -> None:
        self.count = 0
        self.total = 0.0

    def add(self, loss: float) -> None:
        """Add one loss."""
        self.count += 1
        self.total += loss

    def take(self) -> float:
        """Return the mean of the batch and empty it."""
        mean = self.total / self.count
        self.count = 0
        self.total = 0.0
        return mean


class Detector:
    """Collects evidence that one version is worse than the others in one signal."""

    __slots__ = ("_evidences", "_others", "_own", "evidence", "loss", "others_loss")

    def __init__(self) -> None:
        self.loss = Mean()
        self.others_loss = Mean()
        self._own = Batch()
        self._others = Batch()
        self.evidence = 0.0
        self._evidences = [0.0] * len(BETS)

    def add_own(self, loss: float) -> bool:
        """Add a loss of this version; return whether the evidence changed."""
        self.loss.add(loss)
        self._own.add(loss)
        return self._bet()

    def add_other(self, loss: float) -> bool:
        """Add a loss of another version; return whether the evidence changed."""
        self.others_loss.add(loss)
        self._others.add(loss)
        return self._bet()

    def _bet(self) -> bool:
        """Place a bet if both sides have new losses; return whether they have."""
        if not self._own.count or not self._others.count:
            return False
        difference = self._own.take() - self._others.take() - MARGIN
        self._evidences = [
            min(max(evidence, 1.0) * (1.0 + bet * difference), MAX_EVIDENCE)
            for evidence, bet in zip(self._evidences, BETS, strict=True)
        ]
        self.evidence = sum(self._evidences) / len(BETS)
        return True
