"""Figures of the benchmark, each with its target and its baseline."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Figure:
    """One measured figure.

    ``target`` is empty and ``is_met`` is ``None`` for a figure without a target.
    ``baseline`` describes what the figure is compared with.
    """

    name: str
    value: str
    target: str = ""
    is_met: bool | None = None
    baseline: str = ""


@dataclass
class Report:
    """The figures of one run; each is printed as soon as it is added."""

    figures: list[Figure] = field(default_factory=list)

    def heading(self, text: str) -> None:
        """Print the heading of a part."""
        print(f"\n{text}", flush=True)

    def add(self, figure: Figure) -> None:
        """Record and print a figure."""
        self.figures.append(figure)
        verdict = {None: "", True: "met", False: "MISSED"}[figure.is_met]
        target = f"  [target {figure.target}: {verdict}]" if figure.target else ""
        baseline = f"  (beside it: {figure.baseline})" if figure.baseline else ""
        print(f"  {figure.name}: {figure.value}{target}{baseline}", flush=True)

    def at_most(
        self, name: str, value: float, limit: float, unit: str, baseline: str = ""
    ) -> None:
        """Add a figure with an upper bound."""
        target, is_met = f"<= {limit:g}", value <= limit
        self.add(Figure(name, f"{value:.3g} {unit}", target, is_met, baseline))

    def at_least(
        self, name: str, value: float, limit: float, unit: str, baseline: str = ""
    ) -> None:
        """Add a figure with a lower bound."""
        target, is_met = f">= {limit:g}", value >= limit
        self.add(Figure(name, f"{value:.3g} {unit}", target, is_met, baseline))

    def note(self, name: str, value: str) -> None:
        """Add a figure without a target."""
        self.add(Figure(name, value))

    def missed_targets(self) -> list[Figure]:
        """Return the figures that miss their target."""
        return [figure for figure in self.figures if figure.is_met is False]


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the intercept and the slope of the least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squared_deviations
    return mean_y - slope * mean_x, slope
