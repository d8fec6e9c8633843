"""Nothing runs that no client asked for."""

from .checker import Checker
from .client_statement import ClientStatement


class UnaskedChecker(Checker):
    """Ids that no client sent, changed texts, and transactions committed without being asked."""

    rule = "UNASKED"

    def known(self, *, asked: ClientStatement | None, ident: bytes, text: bytes) -> bool:
        self.judge(fine=asked is not None, what=f"{ident!r} {text[:60]!r} was sent by no client")
        return asked is not None

    def text(self, *, asked: ClientStatement, text: bytes) -> None:
        if asked.shape is not None:
            word, _, rest = text.partition(b" ")
            _, _, content = rest.partition(b" ")
            fine = word == b"RUN" and content == asked.rest
        else:
            fine = text == asked.text
        self.judge(fine=fine, what=f"{asked.ident!r} asked {asked.text[:60]!r} and ran {text[:60]!r}")

    def commits(self, *, asked: ClientStatement) -> None:
        self.judge(fine=asked.attempt.commit_asked, what=f"{asked.ident!r} commits what its client did not commit")
