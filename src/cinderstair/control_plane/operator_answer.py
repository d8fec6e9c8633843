"""The answer to an operator's record: the code of an error, empty for success, and a text."""

from typing import Any

from expression import Result

from ..runtime.errors import CinderstairError
from ..runtime.packer import Packer


def operator_answer(*, text: str) -> Packer:
    """A success; further fields may be appended to the packer."""
    return Packer().text(value="").text(value=text)


def operator_error(*, error: CinderstairError) -> bytes:
    """A failure, with its reason as the text."""
    return Packer().text(value=error.code.value).text(value=error.reason).bytes()


def operator_result(*, result: Result[Any, CinderstairError], text: str) -> bytes:
    """The error of a failed result, or the given text for a success."""
    return operator_error(error=result.error) if result.is_error() else operator_answer(text=text).bytes()
