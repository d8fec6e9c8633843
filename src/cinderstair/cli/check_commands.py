"""Commands that check and format a configuration document; they need no running system."""

import json
import sys
from typing import Any

from cleo.helpers import argument

from ..config.formatter import format_program, format_selector
from .document_command import DocumentCommand
from .exit_code import ExitCode


class CheckCommand(DocumentCommand):
    """Prints a summary of a valid document; errors and warnings go to standard error."""

    name = "check"
    description = "Validate a configuration document; needs no running system"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        path = self.argument("file")
        read = self.read_configuration(path=path)
        if read.is_error():
            return read.error
        configuration = read.ok
        for warning in configuration.warnings:
            print(f"{path}: warning: {warning}", file=sys.stderr)
        counts = {
            "version": configuration.version,
            "databases": len(configuration.databases),
            "backends": len(configuration.backends),
            "windows": len(configuration.windows),
        }
        print(json.dumps(counts))
        return ExitCode.DONE


class FormatCommand(DocumentCommand):
    """Prints a document with its routes, policies and selectors in canonical form."""

    name = "format"
    description = "Print a configuration document with its routes, policies and selectors in canonical form"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        # A document that does not compile has no canonical form.
        read = self.read_configuration(path=self.argument("file"))
        if read.is_error():
            return read.error
        document = format_document(document=json.loads(read.ok.raw))
        print(json.dumps(document, indent=2))
        return ExitCode.DONE


def format_document(*, document: dict[str, Any]) -> dict[str, Any]:
    """Returns a valid document with its language in canonical form; changes the document that it is given."""
    language = document.get("language", "")
    text = language if isinstance(language, str) else "\n".join(language)
    if text:
        document["language"] = format_program(text=text).ok.splitlines()
    for window in document.get("windows", []):
        window["empties"] = format_selector(text=window["empties"]).ok
    return document
