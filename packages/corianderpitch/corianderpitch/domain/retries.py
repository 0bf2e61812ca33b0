"""Budget that keeps retries a bounded share of first attempts."""

RETRY_SHARE = 0.1
BURST_RETRIES = 10.0


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = BURST_RETRIES):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend one retry if the budget has one left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
