"""The verbs that need no running system."""

import json
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument

from ..charter.check import checkCharter
from ..charter.formatter import formatProgram, formatSelector

DONE, DENIED, USAGE = 0, 1, 2


class CheckVerb(Command):
    name = "check"
    description = "Check a configuration document; needs no running system"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        path = self.argument("file")
        try:
            raw = Path(path).read_bytes()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return USAGE
        checked = checkCharter(raw=raw)
        if checked.is_error():
            for line in checked.error.details.get("errors", [checked.error.why]):
                print(f"{path}: {line}", file=sys.stderr)
            return DENIED
        charter = checked.ok
        for warning in charter.warnings:
            print(f"{path}: warning: {warning}", file=sys.stderr)
        print(
            json.dumps(
                {
                    "version": charter.version,
                    "databases": len(charter.databases),
                    "backends": len(charter.backends),
                    "windows": len(charter.windows),
                }
            )
        )
        return DONE


class FormatVerb(Command):
    name = "format"
    description = "Print a configuration document with its language in its one true form"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        path = self.argument("file")
        try:
            raw = Path(path).read_bytes()
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return USAGE
        checked = checkCharter(raw=raw)
        # why: what does not compile has no true form, and a guess at one would change its meaning
        if checked.is_error():
            for line in checked.error.details.get("errors", [checked.error.why]):
                print(f"{path}: {line}", file=sys.stderr)
            return DENIED
        document = json.loads(raw)
        language = document.get("language", "")
        text = language if isinstance(language, str) else "\n".join(language)
        if text:
            document["language"] = formatProgram(text=text).ok.splitlines()
        for window in document.get("windows", []):
            window["empties"] = formatSelector(text=window["empties"]).ok
        print(json.dumps(document, indent=2))
        return DONE
