"""Nothing runs that no client asked for."""

from .checker import Checker
from .client_statement import ClientStatement


class UnaskedChecker(Checker):
    """Ids that no client sent, changed texts, and transactions committed without being asked."""

    rule = "UNASKED"

    def known(self, *, statement: ClientStatement | None, ident: bytes, text: bytes) -> bool:
        self.judge(fine=statement is not None, what=f"{ident!r} {text[:60]!r} was sent by no client")
        return statement is not None

    def text(self, *, statement: ClientStatement, text: bytes) -> None:
        if statement.shape is not None:
            word, _, rest = text.partition(b" ")
            _, _, content = rest.partition(b" ")
            fine = word == b"RUN" and content == statement.rest
        else:
            fine = text == statement.text
        self.judge(fine=fine, what=f"{statement.ident!r} asked {statement.text[:60]!r} and ran {text[:60]!r}")

    def commits(self, *, statement: ClientStatement) -> None:
        self.judge(
            fine=statement.attempt.commit_requested,
            what=f"{statement.ident!r} commits what its client did not commit",
        )
