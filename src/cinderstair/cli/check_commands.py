"""The verbs that check and format a document; they need no running system."""

import json
import sys

from cleo.helpers import argument

from ..config.formatter import format_program, format_selector
from .base_command import BaseCommand
from .document_mixin import DocumentMixin
from .exit_code import ExitCode


class CheckCommand(DocumentMixin, BaseCommand):
    name = "check"
    description = "Check a configuration document; needs no running system"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        path = self.argument("file")
        configuration = self.read_configuration(path=path)
        if isinstance(configuration, int):
            return configuration
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


class FormatCommand(DocumentMixin, BaseCommand):
    name = "format"
    description = "Print a configuration document with its language in its one true form"
    arguments = [argument("file", "the configuration document (JSON)")]

    def handle(self) -> int:
        # why: what does not compile has no true form, and a guess at one would change its meaning
        configuration = self.read_configuration(path=self.argument("file"))
        if isinstance(configuration, int):
            return configuration
        document = json.loads(configuration.raw)
        language = document.get("language", "")
        text = language if isinstance(language, str) else "\n".join(language)
        if text:
            document["language"] = format_program(text=text).ok.splitlines()
        for window in document.get("windows", []):
            window["empties"] = format_selector(text=window["empties"]).ok
        print(json.dumps(document, indent=2))
        return ExitCode.DONE
