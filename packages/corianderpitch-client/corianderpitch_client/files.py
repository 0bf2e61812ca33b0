"""Fleet files on the operator's machine: ``fleet.toml`` and ``sites/*.toml``."""

from dataclasses import dataclass
from pathlib import Path

from corianderpitch_client.errors import BadFile

BASE_FILE = "fleet.toml"
SITES_FOLDER = "sites"


@dataclass(frozen=True, slots=True)
class FleetFiles:
    """The texts of a base file and its overlays, by site."""

    base_text: str
    overlay_texts: dict[str, str]

    @classmethod
    def from_folder(cls, folder: Path) -> "FleetFiles":
        """Read the files of a folder.

        Raises
        ------
        BadFile
            If a file is missing or is not UTF-8 text.
        """
        overlays = sorted((folder / SITES_FOLDER).glob("*.toml"))
        try:
            base_text = (folder / BASE_FILE).read_text("utf-8")
            texts = {path.stem: path.read_text("utf-8") for path in overlays}
        except (OSError, UnicodeDecodeError) as error:
            raise BadFile(f"cannot read {folder}: {error}") from error
        return cls(base_text, texts)
