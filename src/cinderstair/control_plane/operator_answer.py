"""Responses to operators' records: an error code, empty on success, followed by a text."""

from typing import Any

from expression import Result

from ..runtime.errors import CinderstairError
from ..runtime.packer import Packer


def operator_answer(*, text: str) -> Packer:
    """Starts a success response; the caller may append further fields to the packer."""
    return Packer().text(value="").text(value=text)


def operator_error(*, error: CinderstairError) -> bytes:
    """An error response with the error's reason as its text."""
    return Packer().text(value=error.code.value).text(value=error.reason).bytes()


def operator_result(*, result: Result[Any, CinderstairError], text: str) -> bytes:
    """An error response for a failed result, otherwise a success response with the given text."""
    return operator_error(error=result.error) if result.is_error() else operator_answer(text=text).bytes()
