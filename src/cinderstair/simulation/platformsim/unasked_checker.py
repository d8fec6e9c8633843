"""UNASKED: backends execute only what a client sent, with its text."""

from .checker import Checker
from .client_statement import ClientStatement


class UnaskedChecker(Checker):
    """Finds statement ids that no client sent, altered texts, and commits that no client requested."""

    rule = "UNASKED"

    def check_id(self, *, statement: ClientStatement | None, ident: bytes, text: bytes) -> bool:
        """The id must be that of a statement which a client sent; False if not."""
        self.check(
            holds=statement is not None, description=f"statement {ident!r} {text[:60]!r} was sent by no client"
        )
        return statement is not None

    def check_text(self, *, statement: ClientStatement, text: bytes) -> None:
        """The text must be the client's; the name of a prepared statement may differ."""
        if statement.shape is not None:
            word, _, rest = text.partition(b" ")
            _, _, content = rest.partition(b" ")
            holds = word == b"RUN" and content == statement.rest
        else:
            holds = text == statement.text
        self.check(
            holds=holds,
            description=f"{statement.ident!r} is {statement.text[:60]!r}, but a backend got {text[:60]!r}",
        )

    def check_commit(self, *, statement: ClientStatement) -> None:
        """A backend commits a transaction; its client must have requested it."""
        self.check(
            holds=statement.attempt.commit_requested,
            description=f"{statement.ident!r} commits a transaction whose client requested no commit",
        )
