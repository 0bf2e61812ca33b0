"""Reads the fleet files of an operator: ``fleet.toml`` and ``sites/*.toml``."""

from dataclasses import dataclass
from pathlib import Path

from corianderpitch_client.errors import UnreadableFleetFile

BASE_FILE = "fleet.toml"
SITES_FOLDER = "sites"


@dataclass(frozen=True, slots=True)
class FleetFiles:
    """Texts of a base file and of its overlays, the latter by site."""

    base_text: str
    overlay_texts: dict[str, str]

    @classmethod
    def from_folder(cls, folder: Path) -> "FleetFiles":
        """Read the base file and all overlays of a folder.

        Raises
        ------
        UnreadableFleetFile
            If the base file is missing, or a file cannot be read as UTF-8 text.
        """
        overlay_paths = sorted((folder / SITES_FOLDER).glob("*.toml"))
        try:
            base_text = (folder / BASE_FILE).read_text("utf-8")
            overlay_texts = {
                path.stem: path.read_text("utf-8") for path in overlay_paths
            }
        except (OSError, UnicodeDecodeError) as error:
            raise UnreadableFleetFile(f"cannot read {folder}: {error}") from error
        return cls(base_text, overlay_texts)
