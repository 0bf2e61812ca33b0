"""Which team a caller's key belongs to, by the configuration in force."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from corianderpitch.daemon.scheduling.catalogs import CatalogTask
from corianderpitch.domain.scheduling.teams import digest_key
from corianderpitch.ids import TeamName

# Shorter than any time in which a change must take effect. A task that follows the
# configuration confirms it about once a second.
MAX_CONFIGURATION_AGE_MS = 2000.0
MAX_KEY_CHARS = 256


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """No configuration in force holds the key."""


@dataclass(frozen=True, slots=True)
class ConfigurationUnconfirmed:
    """The key may have been added since the configuration was read."""


KeyProblem = UnknownKey | ConfigurationUnconfirmed


class TeamKeys:
    """Finds the teams of keys."""

    def __init__(self, catalogs: CatalogTask):
        self._catalogs = catalogs

    def find_team(self, key: str) -> Result[TeamName, KeyProblem]:
        """Return the team that a key belongs to.

        Before a key counts as unknown, an old configuration is confirmed.
        """
        if not key.isascii() or not 0 < len(key) <= MAX_KEY_CHARS:
            return Failure(UnknownKey())
        team = self._find_now(key)
        if team is None:
            if not self._catalogs.confirm(MAX_CONFIGURATION_AGE_MS):
                return Failure(ConfigurationUnconfirmed())
            team = self._find_now(key)
        return Success(team) if team is not None else Failure(UnknownKey())

    def _find_now(self, key: str) -> TeamName | None:
        catalog = self._catalogs.catalog
        digest = digest_key(key)
        return catalog.teams_by_key.get(digest) if catalog is not None else None
