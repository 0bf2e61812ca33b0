"""Retry budget: bounds retries to a share of first attempts."""

RETRY_SHARE = 0.1  # retries per first attempt
BURST_RETRIES = 10.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Each first attempt adds ``share`` of a token, up to ``burst`` tokens in all. A
    retry takes one token. The bucket starts full.

    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = BURST_RETRIES):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Add the share of a token that a first attempt earns."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take a token for one retry; return whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
