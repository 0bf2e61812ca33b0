"""The fleet file: one base file for all sites and one overlay file per site.

The base file holds the complete configuration. An overlay holds only the values
that differ at its site, and may set only the keys in ``OVERLAY_KEYS``. A check
reports every problem of all the files, each with its file and path.
"""

import difflib
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import pydantic

from corianderpitch.domain.fleetsections import (
    SECTIONS,
    BudgetSettings,
    FleetFile,
    PoolSettings,
    Section,
    WaveSettings,
)
from corianderpitch.domain.problems import Problem, ProblemKind
from corianderpitch.domain.vms import OperationKind
from corianderpitch.ids import DataCenterId, PoolName, ServiceName

BASE_FILE = "fleet.toml"
OVERLAY_KEYS = {
    "services": frozenset(
        {"default_timeout_ms", "run_quantile", "spill_wait_ms", "max_body_bytes"}
    ),
    "tenants": frozenset({"weight"}),
    "classes": frozenset({"weight"}),
}


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """A valid configuration: the source texts and one merged file per site."""

    base_text: str
    overlay_texts: Mapping[DataCenterId, str]
    base: FleetFile
    by_site: Mapping[DataCenterId, FleetFile]

    def for_site(self, site: DataCenterId) -> FleetFile:
        """Return the merged file of a site, or the base for an unknown one."""
        return self.by_site.get(site, self.base)


def overlay_file(site: DataCenterId) -> str:
    """Return the file name that problems of a site's overlay are reported under."""
    return f"sites/{site}.toml"


def check_fleet(
    base_text: str, overlay_texts: Mapping[DataCenterId, str]
) -> FleetConfig | list[Problem]:
    """Return the configuration if it is valid, or else every problem found."""
    problems: list[Problem] = []
    base_data = _parse(BASE_FILE, base_text, problems)
    overlays = {
        site: _parse(overlay_file(site), text, problems)
        for site, text in overlay_texts.items()
    }
    base = _validate(BASE_FILE, base_data, problems)
    by_site = {}
    for site, overlay in overlays.items():
        file = overlay_file(site)
        problems += _overlay_problems(file, overlay, base_data, site)
        merged = _validate(file, _merge(base_data, overlay), [])
        if merged is None and base is not None:
            _validate(file, _merge(base_data, overlay), problems)
        by_site[site] = merged
    if base is not None:
        problems += _consistency_problems(base)
    if problems or base is None:
        return problems
    return FleetConfig(base_text, dict(overlay_texts), base, by_site)


def _parse(file: str, text: str, problems: list[Problem]) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problems.append(Problem(file, "", ProblemKind.SYNTAX, str(error)))
        return {}


def _merge(base: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in overlay.items():
        both_tables = isinstance(value, dict) and isinstance(base.get(key), dict)
        merged[key] = _merge(base[key], value) if both_tables else value
    return merged


def _validate(
    file: str, data: dict[str, Any], problems: list[Problem]
) -> FleetFile | None:
    try:
        return FleetFile.model_validate(data)
    except pydantic.ValidationError as error:
        problems += [_problem_from_error(file, item) for item in error.errors()]
        return None


def _problem_from_error(file: str, item: Any) -> Problem:
    path = ".".join(str(part) for part in item["loc"])
    match item["type"]:
        case "extra_forbidden":
            detail = _unknown_key_detail(item["loc"])
            return Problem(file, path, ProblemKind.UNKNOWN_KEY, detail)
        case "missing":
            return Problem(file, path, ProblemKind.MISSING, "is required")
        case _:
            return Problem(file, path, ProblemKind.BAD_VALUE, item["msg"])


def _unknown_key_detail(path: tuple[str | int, ...]) -> str:
    model: type[Section] = FleetFile
    if len(path) > 1:
        model = SECTIONS.get(str(path[0]), FleetFile)
    if len(path) > 3:
        model = BudgetSettings
    close = difflib.get_close_matches(str(path[-1]), list(model.model_fields), n=1)
    return f"unknown key; did you mean {close[0]}?" if close else "unknown key"


def _overlay_problems(
    file: str, overlay: dict[str, Any], base: dict[str, Any], site: DataCenterId
) -> list[Problem]:
    problems = []
    if site not in base.get("sites", {}):
        detail = "the base file has no such site"
        problems.append(Problem(file, "", ProblemKind.INCONSISTENT, detail))
    for section, items in overlay.items():
        allowed = OVERLAY_KEYS.get(section)
        if allowed is None or not isinstance(items, dict):
            detail = f"an overlay may change only {', '.join(OVERLAY_KEYS)}"
            problems.append(Problem(file, section, ProblemKind.NOT_OVERRIDABLE, detail))
            continue
        base_items = base.get(section, {})
        for name, fields in items.items():
            path = f"{section}.{name}"
            problems += _item_problems(
                file, path, fields, base_items.get(name), allowed
            )
    return problems


def _item_problems(
    file: str, path: str, fields: Any, base: Any, allowed: frozenset[str]
) -> list[Problem]:
    if not isinstance(base, dict) or not isinstance(fields, dict):
        detail = "the base file has no such entry"
        return [Problem(file, path, ProblemKind.NOT_OVERRIDABLE, detail)]
    problems = []
    for key, value in fields.items():
        key_path = f"{path}.{key}"
        if key not in allowed:
            detail = f"a site may change only {', '.join(sorted(allowed))}"
            problems.append(
                Problem(file, key_path, ProblemKind.NOT_OVERRIDABLE, detail)
            )
        elif base.get(key) == value:
            detail = "has the same value in the base file"
            problems.append(Problem(file, key_path, ProblemKind.NO_DIFFERENCE, detail))
    return problems


def _consistency_problems(base: FleetFile) -> list[Problem]:
    problems = []
    service_by_pool: dict[PoolName, ServiceName] = {}
    for name, service in base.services.items():
        path = f"services.{name}.pool"
        if service.pool not in base.pools:
            close = difflib.get_close_matches(service.pool, list(base.pools), n=1)
            hint = f"; did you mean {close[0]}?" if close else ""
            detail = f"no pool is named {service.pool}{hint}"
            problems.append(Problem(BASE_FILE, path, ProblemKind.INCONSISTENT, detail))
        elif service.pool in service_by_pool:
            detail = f"the pool already serves {service_by_pool[service.pool]}"
            problems.append(Problem(BASE_FILE, path, ProblemKind.INCONSISTENT, detail))
        service_by_pool.setdefault(service.pool, name)
        if service.instance_connections < service.instance_slots:
            detail = "must be at least instance_slots"
            path = f"services.{name}.instance_connections"
            problems.append(Problem(BASE_FILE, path, ProblemKind.INCONSISTENT, detail))
    spares = [name for name, pool in base.pools.items() if pool.is_spare]
    if len(spares) > 1:
        detail = f"only one pool can be spare: {', '.join(spares)}"
        problems.append(Problem(BASE_FILE, "pools", ProblemKind.INCONSISTENT, detail))
    for name, wave in base.waves.items():
        problems += _wave_problems(f"waves.{name}", wave, base.pools)
    return problems


def _wave_problems(
    path: str, wave: WaveSettings, pools: Mapping[PoolName, PoolSettings]
) -> list[Problem]:
    details = []
    named_pools = [*wave.pools, *([wave.target_pool] if wave.target_pool else [])]
    details += [f"no pool is named {pool}" for pool in named_pools if pool not in pools]
    is_move = wave.kind is OperationKind.MOVE
    if is_move and wave.target_pool is None:
        details.append("a wave that moves VMs needs a target_pool")
    if not is_move and wave.target_pool is not None:
        details.append("only a wave that moves VMs has a target_pool")
    if wave.kind is OperationKind.DRAIN:
        details.append("a wave cannot leave VMs drained")
    if wave.period_days is not None and wave.kind is not OperationKind.REBOOT:
        details.append("only a reboot can have period_days")
    kind = ProblemKind.INCONSISTENT
    return [Problem(BASE_FILE, path, kind, detail) for detail in details]
