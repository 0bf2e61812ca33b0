"""Command line of ``corianderpitchd``, the daemon that runs one entry."""

import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

import os
import signal
import sys

from cyclopts import App, CycloptsError, MissingArgumentError
from cyclopts.config import Env

from corianderpitch.daemon.entry import Entry
from corianderpitch.daemon.logs import install_console_handler
from corianderpitch.daemon.settings import ENVIRONMENT_PREFIX, Settings
from corianderpitch.errors import SettingsError

EXIT_BAD_SETTINGS = 2

app = App(
    name="corianderpitchd",
    help="Run one entry of corianderpitch.",
    config=Env(ENVIRONMENT_PREFIX, command=False),
    result_action="return_value",
)


@app.default
def run(settings: Settings) -> None:
    """Run one entry until SIGTERM.

    Every flag can be given as an environment variable instead, for example
    CORIANDERPITCH_DATA_CENTER for --data-center.
    """
    settings.check()
    install_console_handler(settings.log_format, settings.log_level)
    entry = Entry.from_settings(settings)
    signal.signal(signal.SIGTERM, lambda number, frame: entry.request_stop())
    signal.signal(signal.SIGINT, lambda number, frame: entry.request_stop())
    entry.run()


def main() -> None:
    """Run the program; the exit code is 2 if a setting is missing or not allowed."""
    try:
        app(exit_on_error=False, print_error=False)
    except SettingsError as error:
        print(f"corianderpitchd: {_text_with_source(error)}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except MissingArgumentError as error:
        name = error.argument.name.lstrip("-")
        variable = ENVIRONMENT_PREFIX + name.upper().replace("-", "_")
        problem = f"flag --{name} or environment variable {variable}: is required"
        print(f"corianderpitchd: {problem}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except CycloptsError as error:
        print(f"corianderpitchd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def _text_with_source(error: SettingsError) -> str:
    """Return the error's text with the flag or variable that set the value."""
    variable = ENVIRONMENT_PREFIX + error.name.upper().replace("-", "_")
    flag = f"--{error.name}"
    has_flag = any(
        argument == flag or argument.startswith(f"{flag}=") for argument in sys.argv[1:]
    )
    source = (
        f"environment variable {variable}"
        if (not has_flag and variable in os.environ)
        else f"flag {flag}"
    )
    return f"{source}: {error.allowed}"


if __name__ == "__main__":
    main()
